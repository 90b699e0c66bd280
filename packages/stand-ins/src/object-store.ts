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
import {CallRate} from './call-rate.js';
import {HostList} from './host-list.js';
import {
	BodyTooLargeError,
	MalformedBodyError,
	parseJson,
	readBody,
	readChecked,
	sendJson,
	sendStatus,
} from './http-json.js';
import {startListening, stopListening} from './http-listener.js';
import {
	parseCall,
	isControlCall,
	type CallKind,
	type ControlCall,
	type DataCall,
	type ObjectStoreCall,
} from './object-store-call.js';
import {
	objectStoreFaultsSchema,
	type ObjectStoreFaults,
} from './object-store-faults.js';
import {StoredObjects, type ObjectState} from './stored-objects.js';
import {Waiters} from './waiters.js';

export type ObjectStoreOptions = Endpoint & {
	readonly writesPerSecond: number;
	readonly readsPerSecond: number;
	readonly latency: Milliseconds;
	readonly clock: Clock;
};

type Call<Kind extends CallKind> = Extract<ObjectStoreCall, {kind: Kind}>;

const maximumValueBytes = 1_048_576;
const maximumControlBytes = 65_536;
const keepAliveTimeout: Milliseconds = 60_000;
/** The name under which watches of the host list wait; objects have names. */
const hostsKey = '';

const writeKinds: ReadonlySet<CallKind> = new Set<CallKind>([
	'write',
	'delete',
]);

/** The platform's object API in memory, with faults on command. */
export class ObjectStore {
	readonly #options: ObjectStoreOptions;
	readonly #server: Server;
	readonly #objects = new StoredObjects();
	readonly #waiters = new Waiters();
	readonly #hosts = new HostList(() => {
		this.#waiters.emit(hostsKey);
	});

	readonly #writes: CallRate;
	readonly #reads: CallRate;
	readonly #counts = new Map<CallKind | 'refused', number>();
	readonly #open = new Set<ServerResponse>();
	#faults: ObjectStoreFaults = objectStoreFaultsSchema.parse({mode: 'none'});
	#endpoint: Endpoint;

	constructor(options: ObjectStoreOptions) {
		const {clock} = options;
		this.#options = options;
		this.#endpoint = options;
		this.#writes = new CallRate(clock, options.writesPerSecond);
		this.#reads = new CallRate(clock, options.readsPerSecond);
		this.#server = createServer(
			{keepAliveTimeout, noDelay: true},
			(request, response) => {
				void this.#serve(request, response);
			},
		);
	}

	/** Where the store listens. */
	get endpoint(): Endpoint {
		return this.#endpoint;
	}

	async start(): Promise<void> {
		this.#endpoint = await startListening(this.#server, this.#options);
	}

	async close(): Promise<void> {
		this.#hosts.close();
		this.#waiters.close();
		await stopListening(this.#server);
	}

	async #serve(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		this.#open.add(response);
		response.once('close', () => {
			this.#open.delete(response);
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

		const mode = this.#takeFault(call.kind);
		if (mode === 'down') {
			response.destroy();
			return;
		}

		const rate = writeKinds.has(call.kind) ? this.#writes : this.#reads;
		if (!rate.take()) {
			this.#count('refused');
			sendJson(response, 429, {message: 'Too many calls'});
			return;
		}

		const slowness = mode === 'slow' ? this.#faults.delayMs : 0;
		await wait(this.#options.latency + slowness);
		await this.#handleData(call, mode, request, response);
	}

	async #handleData(
		call: DataCall,
		mode: ObjectStoreFaults['mode'],
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		switch (call.kind) {
			case 'read': {
				this.#sendObject(response, call.name, this.#read(call.name, mode));
				break;
			}

			case 'watch': {
				await this.#handleWatch(call, response);
				break;
			}

			case 'list': {
				sendJson(response, 200, {objects: this.#objects.list(call.prefix)});
				break;
			}

			case 'write':
			case 'delete': {
				await this.#handleChange(call, mode, request, response);
				break;
			}

			case 'list-hosts': {
				sendJson(response, 200, this.#hosts.published);
				break;
			}

			case 'watch-hosts': {
				await this.#handleHostsWatch(call, response);
				break;
			}
		}
	}

	async #handleChange(
		call: Call<'write'> | Call<'delete'>,
		mode: ObjectStoreFaults['mode'],
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const body = await readBody(request, maximumValueBytes);
		const text = call.kind === 'write' ? body.toString() : undefined;
		if (text !== undefined) {
			parseJson(text);
		}

		const result = this.#objects.update(call.name, call.expected, text);
		if (result.kind === 'changed') {
			this.#waiters.emit(call.name);
		}

		if (mode === 'lose-answers') {
			response.destroy();
			return;
		}

		const status = result.kind === 'changed' ? 200 : 409;
		sendJson(response, status, {version: result.version});
	}

	async #handleWatch(
		call: Call<'watch'>,
		response: ServerResponse,
	): Promise<void> {
		const end = performance.now() + call.wait;
		for (;;) {
			const state = this.#read(call.name, this.#faults.mode);
			if (state.text !== undefined && state.version > call.after) {
				this.#sendObject(response, call.name, state);
				return;
			}

			const rest = end - performance.now();
			if (rest <= 0 || response.destroyed) {
				sendStatus(response, 304);
				return;
			}

			await this.#waiters.wait(call.name, rest);
		}
	}

	async #handleHostsWatch(
		call: Call<'watch-hosts'>,
		response: ServerResponse,
	): Promise<void> {
		if (this.#hosts.published.version <= call.after) {
			await this.#waiters.wait(hostsKey, call.wait);
		}

		if (this.#hosts.published.version > call.after) {
			sendJson(response, 200, this.#hosts.published);
		} else {
			sendStatus(response, 304);
		}
	}

	async #handleControl(
		call: ControlCall,
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		switch (call.kind) {
			case 'set-host': {
				const host = await readChecked(
					request,
					maximumControlBytes,
					entryHostSchema,
				);
				this.#hosts.set(call.name, host);
				sendJson(response, 200, host);
				break;
			}

			case 'remove-host': {
				this.#hosts.remove(call.name);
				sendJson(response, 200, {});
				break;
			}

			case 'set-faults': {
				const faults = await readChecked(
					request,
					maximumControlBytes,
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
				sendJson(response, 400, {message: 'No such call'});
			}
		}
	}

	#setFaults(faults: ObjectStoreFaults): void {
		this.#faults = faults;
		this.#hosts.lag = faults.listLagMs ?? this.#hosts.lag;
		if (faults.mode !== 'down') {
			return;
		}

		for (const response of this.#open) {
			if (response.req.url !== '/faults') {
				response.destroy();
			}
		}
	}

	/** The fault that this call meets, counted where it is bounded. */
	#takeFault(kind: CallKind): ObjectStoreFaults['mode'] {
		const {mode, count} = this.#faults;
		const isMet = mode !== 'lose-answers' || writeKinds.has(kind);
		if (count === undefined || !isMet) {
			return mode;
		}

		this.#faults =
			count === 1
				? {...this.#faults, mode: 'none', count: undefined}
				: {...this.#faults, count: count - 1};
		return mode;
	}

	#read(name: string, mode: ObjectStoreFaults['mode']): ObjectState {
		return mode === 'stale-reads'
			? this.#objects.getPrevious(name)
			: this.#objects.get(name);
	}

	#sendObject(
		response: ServerResponse,
		name: string,
		{version, text}: ObjectState,
	): void {
		if (text === undefined) {
			sendJson(response, 404, {message: 'No such object'});
			return;
		}

		sendJson(response, 200, {name, version, value: parseJson(text)});
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
