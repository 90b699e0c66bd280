import {createHash} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import type {Clock, Milliseconds} from '@parsleyvale/shared';

/** What a server does with a request. */
export type ServerMode =
	| 'sound'
	/** Runs it and resets the connection. */
	| 'loses answers'
	/** Runs it and ends the body too early. */
	| 'cuts answers'
	/** Runs it and sends bytes of another answer after its own. */
	| 'doubles answers'
	/** Rejects it as not run. */
	| 'sheds'
	/** Runs it, ten times as slow. */
	| 'slow';

/** One request that began to run. */
export type Execution = {
	readonly requestId: string;
	readonly server: string;
	readonly customer: string | undefined;
	readonly at: Milliseconds;
};

const slots = 4;
const workTime: Milliseconds = 15;
const slowFactor = 10;

/** The body that a server answers to a request: long enough to be cut. */
export function toAnswerBody(requestId: string): string {
	return createHash('sha256').update(requestId).digest('hex').repeat(20);
}

/** A backend server of the platform that records what it runs. */
export class ServerStandIn {
	mode: ServerMode = 'sound';
	/** When the store took its leave; later requests are too late. */
	leftAt: Milliseconds | undefined;
	readonly #clock: Clock;
	readonly #executions: Execution[];
	readonly #server: Server;
	#running = 0;

	constructor(
		readonly id: string,
		clock: Clock,
		executions: Execution[],
	) {
		this.#clock = clock;
		this.#executions = executions;
		this.#server = createServer((request, response) => {
			request.on('error', () => undefined);
			response.on('error', () => undefined);
			request.resume().on('end', () => {
				void this.#handle(request, response);
			});
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async listen(host: string): Promise<this> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, host, resolve);
		});
		return this;
	}

	/** Ends at once, as a crash does. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const requestId = String(request.headers['parsleyvale-request-id'] ?? '');
		response.setHeader('parsleyvale-request-id', requestId);
		if (request.headers['parsleyvale-expected-instance'] !== this.id) {
			response.writeHead(421).end();
			return;
		}

		if (this.mode === 'sheds' || this.#running >= slots * 3) {
			response.setHeader('parsleyvale-not-executed', '1');
			response.writeHead(503).end();
			return;
		}

		const customer = request.headers['parsleyvale-tenant'];
		this.#executions.push({
			requestId,
			server: this.id,
			customer: typeof customer === 'string' ? customer : undefined,
			at: this.#clock.now(),
		});
		this.#running += 1;
		await wait(this.mode === 'slow' ? workTime * slowFactor : workTime);
		this.#running -= 1;
		this.#answer(requestId, response);
	}

	#answer(requestId: string, response: ServerResponse): void {
		const body = toAnswerBody(requestId);
		const {socket} = response;
		if (this.mode === 'loses answers') {
			socket?.resetAndDestroy();
			return;
		}

		response.writeHead(200, {
			'content-length': body.length,
			'parsleyvale-server-seal': 'seal',
			'parsleyvale-server-load': `${this.#running},0,${slots}`,
		});
		if (this.mode === 'cuts answers') {
			response.write(body.slice(0, body.length / 2));
			setTimeout(() => {
				socket?.destroy();
			}, 1);
			return;
		}

		response.end(body);
		if (this.mode === 'doubles answers') {
			socket?.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother');
		}
	}
}
