import {createServer, type IncomingMessage, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {
	configurationSchema,
	type Configuration,
	type VersionedConfiguration,
} from '@parsleyvale/shared';

/** How the fake handles one change request. */
export type ChangeFault =
	| 'none'
	/** The connection closes before the change is made. */
	| 'lose-before'
	/** The change is made, and the connection closes before the response. */
	| 'lose-after'
	/** No response is sent, and the change is not made. */
	| 'silent'
	/** Another operator makes a change first. */
	| 'race'
	/** The change is made, the response is lost, and another change replaces it. */
	| 'hide';

type ConfigurationChange = (configuration: Configuration) => Configuration;
type JsonResponse = {readonly status: number; readonly value: unknown};

function keepConfiguration(configuration: Configuration): Configuration {
	return configuration;
}

/** The administration API of a fake entry host, with its own configuration. */
export class FakeAdministration {
	/** The other operator's change, made by the faults `race` and `hide`. */
	racingChange: ConfigurationChange = keepConfiguration;

	/** Faults of the next changes; later changes succeed. */
	readonly faults: ChangeFault[] = [];
	/** Operation ids of the changes made, in order. */
	readonly acceptedOperationIds: string[] = [];
	/** Operation ids of all changes received, in order. */
	readonly receivedOperationIds: string[] = [];
	current: VersionedConfiguration = {
		version: 1,
		operationId: 'first',
		configuration: configurationSchema.parse({}),
	};

	readonly #server: Server;

	constructor() {
		this.#server = createServer(async (request, response) => {
			const jsonResponse = await this.#handle(request);
			if (jsonResponse === undefined) {
				response.destroy();
				return;
			}

			response.statusCode = jsonResponse.status;
			response.end(JSON.stringify(jsonResponse.value));
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

	async #handle(request: IncomingMessage): Promise<JsonResponse | undefined> {
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

	#handleChange(url: URL, body: string): JsonResponse | undefined {
		const fault = this.faults.shift() ?? 'none';
		const operationId = url.searchParams.get('operation') ?? '';
		this.receivedOperationIds.push(operationId);
		if (fault === 'lose-before' || fault === 'silent') {
			return undefined;
		}

		if (fault === 'race') {
			this.#setConfiguration(
				'other',
				this.racingChange(this.current.configuration),
			);
		}

		const jsonResponse = url.pathname.startsWith('/keys/')
			? this.#acceptChange(operationId, this.current.configuration)
			: this.#handlePut(url, operationId, body);
		if (fault === 'hide') {
			this.#setConfiguration(
				'other',
				this.racingChange(this.current.configuration),
			);
		}

		return fault === 'none' || fault === 'race' ? jsonResponse : undefined;
	}

	#handlePut(url: URL, operationId: string, body: string): JsonResponse {
		const {version} = this.current;
		if (Number(url.searchParams.get('expected')) !== version) {
			const value = {kind: 'version-conflict', version, message: 'conflict'};
			return {status: 409, value};
		}

		return this.#acceptChange(operationId, JSON.parse(body) as Configuration);
	}

	#acceptChange(
		operationId: string,
		configuration: Configuration,
	): JsonResponse {
		this.acceptedOperationIds.push(operationId);
		this.#setConfiguration(operationId, configuration);
		return {status: 200, value: {version: this.current.version}};
	}

	#setConfiguration(operationId: string, configuration: Configuration): void {
		const version = this.current.version + 1;
		this.current = {version, operationId, configuration};
	}
}
