import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {
	createSystemClock,
	entryHostSchema,
	type Clock,
	type Endpoint,
	type Milliseconds,
} from '@parsleyvale/shared';
import {TokenBucket} from './token-bucket.js';
import {
	BodyTooLargeError,
	MalformedBodyError,
	readJson,
	sendJson,
} from './http-json.js';
import {startListening, stopListening} from './http-listener.js';
import {
	parseCall,
	isControlCall,
	isWrite,
	type CallKind,
	type ControlCall,
} from './object-store-call.js';
import {ObjectStoreData} from './object-store-data.js';
import {
	ObjectStoreFaultInjector,
	objectStoreFaultsSchema,
	type ObjectStoreFaults,
} from './object-store-faults.js';

export type ObjectStoreOptions = Endpoint & {
	readonly writesPerSecond: number;
	readonly readsPerSecond: number;
	readonly latency: Milliseconds;
	readonly clock: Clock;
};

const maximumControlBodyBytes = 65_536;
const keepAliveTimeout: Milliseconds = 60_000;

/** An in-memory implementation of the platform's object API with fault injection. */
export class ObjectStore {
	readonly #options: ObjectStoreOptions;
	readonly #server: Server;
	readonly #faultInjector = new ObjectStoreFaultInjector();
	readonly #data = new ObjectStoreData(this.#faultInjector);
	readonly #writeBucket: TokenBucket;
	readonly #readBucket: TokenBucket;
	readonly #counts = new Map<CallKind | 'refused', number>();
	readonly #openResponses = new Set<ServerResponse>();
	#endpoint: Endpoint;

	constructor(options: ObjectStoreOptions) {
		const {clock} = options;
		this.#options = options;
		this.#endpoint = options;
		this.#writeBucket = new TokenBucket(clock, options.writesPerSecond);
		this.#readBucket = new TokenBucket(clock, options.readsPerSecond);
		this.#server = createServer(
			{keepAliveTimeout, noDelay: true},
			(request, response) => {
				void this.#serve(request, response);
			},
		);
	}

	get endpoint(): Endpoint {
		return this.#endpoint;
	}

	async start(): Promise<void> {
		this.#endpoint = await startListening(this.#server, this.#options);
	}

	async close(): Promise<void> {
		this.#data.close();
		await stopListening(this.#server);
	}

	async #serve(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		this.#openResponses.add(response);
		response.once('close', () => {
			this.#openResponses.delete(response);
		});
		try {
			await this.#handle(request, response);
		} catch (error) {
			this.#onError(error, response);
		}
	}

	#onError(error: unknown, response: ServerResponse): void {
		if (response.headersSent || response.destroyed) {
			response.destroy();
		} else if (error instanceof BodyTooLargeError) {
			sendJson(response, 413, {message: error.message});
		} else if (error instanceof MalformedBodyError) {
			sendJson(response, 400, {message: error.message});
		} else {
			response.destroy();
		}
	}

	async #handle(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const call = parseCall(request);
		this.#count(call.kind);
		if (isControlCall(call)) {
			await this.#handleControl(call, request, response);
			return;
		}

		const mode = this.#faultInjector.take(call.kind);
		if (mode === 'down') {
			response.destroy();
			return;
		}

		const bucket = isWrite(call.kind) ? this.#writeBucket : this.#readBucket;
		if (!bucket.tryTake()) {
			this.#count('refused');
			sendJson(response, 429, {message: 'Rate limit exceeded'});
			return;
		}

		const extraLatency =
			mode === 'slow' ? this.#faultInjector.current.delayMs : 0;
		await wait(this.#options.latency + extraLatency);
		await this.#data.handle(call, mode, request, response);
	}

	async #handleControl(
		call: ControlCall,
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		switch (call.kind) {
			case 'set-host': {
				const host = await readJson(
					request,
					maximumControlBodyBytes,
					entryHostSchema,
				);
				this.#data.hosts.set(call.name, host);
				sendJson(response, 200, host);
				break;
			}

			case 'remove-host': {
				this.#data.hosts.remove(call.name);
				sendJson(response, 200, {});
				break;
			}

			case 'set-faults': {
				const faults = await readJson(
					request,
					maximumControlBodyBytes,
					objectStoreFaultsSchema,
				);
				this.#setFaults(faults);
				sendJson(response, 200, faults);
				break;
			}

			case 'get-counts': {
				sendJson(response, 200, Object.fromEntries(this.#counts));
				break;
			}

			case 'malformed': {
				sendJson(response, 400, {message: 'Unknown call'});
			}
		}
	}

	#setFaults(faults: ObjectStoreFaults): void {
		this.#faultInjector.set(faults);
		this.#data.hosts.lag = faults.listLagMs ?? this.#data.hosts.lag;
		if (faults.mode !== 'down') {
			return;
		}

		for (const response of this.#openResponses) {
			if (response.req.url !== '/faults') {
				response.destroy();
			}
		}
	}

	#count(kind: CallKind | 'refused'): void {
		this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1);
	}
}

/**
 * Starts an object store.
 *
 * @example
 * const store = await createObjectStore({address: '127.0.0.1', port: 0});
 * console.log(store.endpoint.port);
 * await store.close();
 */
export async function createObjectStore(
	options: Endpoint & Partial<ObjectStoreOptions>,
): Promise<ObjectStore> {
	const store = new ObjectStore({
		writesPerSecond: 300,
		readsPerSecond: 2000,
		latency: 2,
		clock: createSystemClock(),
		...options,
	});
	await store.start();
	return store;
}
