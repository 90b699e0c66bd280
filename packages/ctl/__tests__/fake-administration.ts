import {createServer, type IncomingMessage, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {
	configurationSchema,
	type Configuration,
	type VersionedConfiguration,
} from '@parsleyvale/shared';

/** What happens to one change that comes. */
export type ChangeFault =
	| 'none'
	/** The connection closes before the change is made. */
	| 'lose-before'
	/** The change is made, and the connection closes. */
	| 'lose-after'
	/** No answer comes, and the change is not made. */
	| 'silent'
	/** Another operator is faster. */
	| 'race'
	/** The change is made, the answer is lost, and another operator follows. */
	| 'hide';

type Race = (configuration: Configuration) => Configuration;
type Answer = {readonly status: number; readonly value: unknown};

function changeNothing(configuration: Configuration): Configuration {
	return configuration;
}

/** The store that the entry hosts of a test share, and one such host. */
export class FakeAdministration {
	/** The change that a racing operator makes. */
	race: Race = changeNothing;

	readonly faults: ChangeFault[] = [];
	/** Operation ids of the changes made, in order. */
	readonly made: string[] = [];
	/** Operation ids of the changes that came. */
	readonly came: string[] = [];
	current: VersionedConfiguration = {
		version: 1,
		operationId: 'first',
		configuration: configurationSchema.parse({}),
	};

	readonly #server: Server;

	constructor() {
		this.#server = createServer(async (request, response) => {
			const answer = await this.#handle(request);
			if (answer === undefined) {
				response.destroy();
				return;
			}

			response.statusCode = answer.status;
			response.end(JSON.stringify(answer.value));
		});
	}

	get credential(): string {
		return 'operator credential';
	}

	get url(): string {
		const {port} = this.#server.address() as AddressInfo;
		return `http://127.0.0.1:${port}`;
	}

	async start(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	async close(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise((resolve) => {
			this.#server.close(resolve);
		});
	}

	async #handle(request: IncomingMessage): Promise<Answer | undefined> {
		const url = new URL(request.url ?? '/', 'http://entry-host');
		const body = await text(request);
		if (request.headers.authorization !== `Bearer ${this.credential}`) {
			return {status: 403, value: {kind: 'not-authorized', message: ''}};
		}

		if (request.method === 'GET') {
			return {status: 200, value: this.#read(url.pathname)};
		}

		if (this.faults[0] === 'silent') {
			await once(request.socket, 'close');
		}

		return this.#handleChange(url, body);
	}

	#read(path: string): unknown {
		const {version} = this.current;
		return path === '/status'
			? {self: 'e1', version, shifts: [{name: 's'}]}
			: this.current;
	}

	#handleChange(url: URL, body: string): Answer | undefined {
		const fault = this.faults.shift() ?? 'none';
		const operationId = url.searchParams.get('operation') ?? '';
		this.came.push(operationId);
		if (fault === 'lose-before' || fault === 'silent') {
			return undefined;
		}

		if (fault === 'race') {
			this.#set('other', this.race(this.current.configuration));
		}

		const answer = url.pathname.startsWith('/keys/')
			? this.#make(operationId, this.current.configuration)
			: this.#handlePut(url, operationId, body);
		if (fault === 'hide') {
			this.#set('other', this.race(this.current.configuration));
		}

		return fault === 'none' || fault === 'race' ? answer : undefined;
	}

	#handlePut(url: URL, operationId: string, body: string): Answer {
		const {version} = this.current;
		if (Number(url.searchParams.get('expected')) !== version) {
			const value = {kind: 'version-conflict', version, message: 'conflict'};
			return {status: 409, value};
		}

		return this.#make(operationId, JSON.parse(body) as Configuration);
	}

	#make(operationId: string, configuration: Configuration): Answer {
		this.made.push(operationId);
		this.#set(operationId, configuration);
		return {status: 200, value: {version: this.current.version}};
	}

	#set(operationId: string, configuration: Configuration): void {
		const version = this.current.version + 1;
		this.current = {version, operationId, configuration};
	}
}
