import type {Clock, EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Result} from 'true-myth';
import type {z} from 'zod';
import {
	changeResponseSchema,
	hostListResponseSchema,
	objectResponseSchema,
} from './response-schemas.js';
import type {ReadResult, StoredObject, WriteResult} from './results.js';
import {StoreHttpClient, type StoreResponse} from './store-http-client.js';
import {StoreError} from './store-error.js';
import {Watch} from './watch.js';

export type PlatformClientOptions = {
	/** Base URL of the object API. */
	readonly url: string;
	readonly clock: Clock;
	/** Returns numbers from 0 to below 1, for the jitter of retry delays. */
	readonly random?: () => number;
	readonly connectTimeout?: Milliseconds;
	/** Timeout of a read or write. */
	readonly requestTimeout?: Milliseconds;
	/** How long the store may keep a long poll of a watch open. */
	readonly pollDuration?: Milliseconds;
	/** Limit on simultaneous connections for reads and writes. */
	readonly maximumConnections?: number;
};

/** A running activity or resource that has to be closed. */
export type Closeable = {
	close(): void;
};

const defaultOptions = {
	random: Math.random,
	connectTimeout: 1000,
	requestTimeout: 2000,
	pollDuration: 10_000,
	maximumConnections: 32,
};

/** Errors after which the store has certainly not executed the request. */
const notExecutedErrors: ReadonlySet<StoreError> = new Set([
	StoreError.NotReached,
	StoreError.Refused,
]);

/** Client of the platform's object API and its list of entry hosts. */
export class PlatformClient {
	readonly #options: Required<PlatformClientOptions>;
	readonly #requestClient: StoreHttpClient;
	readonly #pollClient: StoreHttpClient;
	readonly #watches = new Set<Closeable>();
	#lastResponseAt: Milliseconds | undefined;

	constructor(options: Required<PlatformClientOptions>) {
		const {url, connectTimeout, maximumConnections} = options;
		this.#options = options;
		this.#requestClient = new StoreHttpClient({
			url,
			connectTimeout,
			maximumConnections,
		});
		// Separate connections, since reads and writes must not wait for a long poll to end.
		this.#pollClient = new StoreHttpClient({
			url,
			connectTimeout,
			maximumConnections: null,
		});
	}

	/** Time of the store's last response; undefined before the first. */
	get lastResponseAt(): Milliseconds | undefined {
		return this.#lastResponseAt;
	}

	/** Reads an object. */
	async readObject(name: string): Promise<ReadResult> {
		const result = await this.#send('GET', toPath(name));
		if (result.isErr) {
			return {kind: 'failed'};
		}

		const {status, value} = result.value;
		if (status === 404) {
			return {kind: 'missing'};
		}

		const parsed = objectResponseSchema.safeParse(value);
		return status === 200 && parsed.success
			? {kind: 'found', object: toStoredObject(parsed.data)}
			: {kind: 'failed'};
	}

	/** Writes an object if its version is the expected one; 0 creates it. */
	async writeObject(
		name: string,
		expectedVersion: number,
		value: unknown,
	): Promise<WriteResult> {
		return this.#sendChange(
			'PUT',
			name,
			expectedVersion,
			JSON.stringify(value),
		);
	}

	/** Deletes an object if its version is the expected one. */
	async deleteObject(
		name: string,
		expectedVersion: number,
	): Promise<WriteResult> {
		return this.#sendChange('DELETE', name, expectedVersion);
	}

	/**
	 * Reports the current version of an object and later ones. Versions that are
	 * quickly overwritten may be skipped.
	 */
	watchObject(
		name: string,
		onChanged: (object: StoredObject) => void,
	): Closeable {
		return this.#startWatch(toPath(name), objectResponseSchema, (response) => {
			onChanged(toStoredObject(response));
		});
	}

	/** Reports the platform's current list of entry hosts and later ones. */
	watchHosts(onChanged: (hosts: readonly EntryHost[]) => void): Closeable {
		return this.#startWatch('/hosts', hostListResponseSchema, (response) => {
			onChanged(response.hosts);
		});
	}

	/** Closes all watches and aborts the requests in flight. */
	async close(): Promise<void> {
		for (const watch of this.#watches) {
			watch.close();
		}

		await Promise.all([this.#requestClient.close(), this.#pollClient.close()]);
	}

	async #sendChange(
		method: 'PUT' | 'DELETE',
		name: string,
		expectedVersion: number,
		body?: string,
	): Promise<WriteResult> {
		const path = `${toPath(name)}?expected=${expectedVersion}`;
		const result = await this.#send(method, path, body);
		if (result.isErr) {
			return {kind: notExecutedErrors.has(result.error) ? 'failed' : 'unknown'};
		}

		const {status, value} = result.value;
		if (status === 409) {
			return {kind: 'conflict'};
		}

		const parsed = changeResponseSchema.safeParse(value);
		return status === 200 && parsed.success
			? {kind: 'written', version: parsed.data.version}
			: {kind: 'unknown'};
	}

	async #send(
		method: 'GET' | 'PUT' | 'DELETE',
		path: string,
		body?: string,
	): Promise<Result<StoreResponse, StoreError>> {
		const timeout = this.#options.requestTimeout;
		const result = await this.#requestClient.send({
			method,
			path,
			body,
			timeout,
		});
		if (result.isOk) {
			this.#recordResponse();
		}

		return result;
	}

	#startWatch<Schema extends z.ZodType<{version: number}>>(
		path: string,
		schema: Schema,
		onChanged: (value: z.infer<Schema>) => void,
	): Closeable {
		const watch = new Watch({
			httpClient: this.#pollClient,
			path,
			schema,
			pollDuration: this.#options.pollDuration,
			responseTimeout: this.#options.requestTimeout,
			random: this.#options.random,
			onChanged,
			onResponse: () => {
				this.#recordResponse();
			},
		});
		this.#watches.add(watch);
		void watch.run();
		return {
			close: () => {
				this.#watches.delete(watch);
				watch.close();
			},
		};
	}

	#recordResponse(): void {
		this.#lastResponseAt = this.#options.clock.now();
	}
}

/**
 * Creates a client of the platform.
 *
 * @example
 * const platform = createPlatformClient({url, clock: createSystemClock()});
 * const result = await platform.writeObject('configuration', 0, {});
 * await platform.close();
 */
export function createPlatformClient(
	options: PlatformClientOptions,
): PlatformClient {
	return new PlatformClient({...defaultOptions, ...options});
}

function toPath(name: string): string {
	return `/objects/${encodeURIComponent(name)}`;
}

function toStoredObject(
	response: z.infer<typeof objectResponseSchema>,
): StoredObject {
	return {
		name: response.name,
		version: response.version,
		value: response.value,
	};
}
