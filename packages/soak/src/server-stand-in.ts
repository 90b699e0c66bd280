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

/** How a server handles a request. */
export type ServerMode =
	| 'sound'
	/** Executes it and resets the connection. */
	| 'loses answers'
	/** Executes it and truncates the body. */
	| 'cuts answers'
	/** Executes it and sends a second, unsolicited response after its own. */
	| 'doubles answers'
	/** Rejects it as not executed. */
	| 'sheds'
	/** Executes it ten times slower. */
	| 'slow';

/** A request whose execution has started. */
export type Execution = {
	readonly requestId: string;
	readonly server: string;
	readonly customer: string | undefined;
	readonly at: Milliseconds;
};

/** End of the path of a request that crashes the server. */
export const deadlyEnding = '/deadly';

const slots = 4;
const executionTime: Milliseconds = 15;
const slowFactor = 10;

/** Creates the response body for a request, which is long enough to be truncated. */
export function createResponseBody(requestId: string): string {
	return createHash('sha256').update(requestId).digest('hex').repeat(20);
}

/** A stand-in for a backend server that records the requests it executes. */
export class ServerStandIn {
	mode: ServerMode = 'sound';
	/** Requests per second that it states in its responses; it does not enforce them. */
	statedLimit: number | undefined;
	/** Called when it has crashed at a request. */
	onCrash: (() => void) | undefined;
	/** When the server's entry was set to draining in the store. */
	drainStartedAt: Milliseconds | undefined;
	readonly #clock: Clock;
	readonly #executions: Execution[];
	readonly #server: Server;
	#inFlight = 0;

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

	/** Closes all connections immediately, like a crash. */
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
		if (this.statedLimit !== undefined) {
			response.setHeader('server-limit', String(this.statedLimit));
		}

		if (request.headers['parsleyvale-expected-instance'] !== this.id) {
			response.writeHead(421).end();
			return;
		}

		if (this.mode === 'sheds' || this.#inFlight >= slots * 3) {
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
		if (request.url?.endsWith(deadlyEnding)) {
			this.close();
			this.onCrash?.();
			return;
		}

		this.#inFlight += 1;
		await wait(
			this.mode === 'slow' ? executionTime * slowFactor : executionTime,
		);
		this.#inFlight -= 1;
		this.#respond(requestId, response);
	}

	#respond(requestId: string, response: ServerResponse): void {
		const body = createResponseBody(requestId);
		const {socket} = response;
		if (this.mode === 'loses answers') {
			socket?.resetAndDestroy();
			return;
		}

		response.writeHead(200, {
			'content-length': body.length,
			'parsleyvale-server-seal': 'seal',
			'parsleyvale-server-load': `${this.#inFlight},0,${slots}`,
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
