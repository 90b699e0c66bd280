import type {Clock, EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Result} from 'true-myth';
import type {z} from 'zod';
import {
	changeAnswerSchema,
	hostsAnswerSchema,
	objectAnswerSchema,
} from './answers.js';
import type {ReadResult, StoredObject, WriteResult} from './results.js';
import {StoreConnection, type StoreAnswer} from './store-connection.js';
import {StoreError} from './store-error.js';
import {Watch} from './watch.js';

export type PlatformClientOptions = {
	/** Where the object API is. */
	readonly url: string;
	readonly clock: Clock;
	/** Between 0 and 1; spreads retries. */
	readonly random?: () => number;
	readonly connectTimeout?: Milliseconds;
	/** Longest wait for the answer to a read or a write. */
	readonly callTimeout?: Milliseconds;
	/** How long the store may hold one long poll of a watch. */
	readonly watchSpan?: Milliseconds;
	/** Most reads and writes at once. */
	readonly connections?: number;
};

/** Something that runs until it is closed. */
export type Closeable = {
	close(): void;
};

const defaults = {
	random: Math.random,
	connectTimeout: 1000,
	callTimeout: 2000,
	watchSpan: 10_000,
	connections: 32,
};

const unwritten: ReadonlySet<StoreError> = new Set([
	StoreError.NotReached,
	StoreError.Refused,
]);

/** A client of the platform's object API and of its list of entry hosts. */
export class PlatformClient {
	readonly #options: Required<PlatformClientOptions>;
	readonly #calls: StoreConnection;
	readonly #polls: StoreConnection;
	readonly #watches = new Set<Closeable>();
	#answeredAt: Milliseconds | undefined;

	constructor(options: Required<PlatformClientOptions>) {
		const {url, connectTimeout, connections} = options;
		this.#options = options;
		this.#calls = new StoreConnection({url, connectTimeout, connections});
		// A long poll holds its connection; reads and writes must not wait for it.
		this.#polls = new StoreConnection({
			url,
			connectTimeout,
			connections: null,
		});
	}

	/** When the store last gave an answer; undefined before the first. */
	get answeredAt(): Milliseconds | undefined {
		return this.#answeredAt;
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

		const parsed = objectAnswerSchema.safeParse(value);
		return status === 200 && parsed.success
			? {kind: 'found', object: toStoredObject(parsed.data)}
			: {kind: 'failed'};
	}

	/** Writes an object if its version is the expected one; 0 means: create. */
	async writeObject(
		name: string,
		expectedVersion: number,
		value: unknown,
	): Promise<WriteResult> {
		return this.#change('PUT', name, expectedVersion, JSON.stringify(value));
	}

	/** Deletes an object if its version is the expected one. */
	async deleteObject(
		name: string,
		expectedVersion: number,
	): Promise<WriteResult> {
		return this.#change('DELETE', name, expectedVersion);
	}

	/**
	 * Tells of an object as it is now and of its later versions. A version
	 * that is soon overwritten may be passed over.
	 */
	watchObject(
		name: string,
		onChanged: (object: StoredObject) => void,
	): Closeable {
		return this.#watch(toPath(name), objectAnswerSchema, (answer) => {
			onChanged(toStoredObject(answer));
		});
	}

	/** Tells of the platform's list of entry hosts as it is now and later. */
	watchHosts(onListed: (hosts: readonly EntryHost[]) => void): Closeable {
		return this.#watch('/hosts', hostsAnswerSchema, (answer) => {
			onListed(answer.hosts);
		});
	}

	/** Ends the watches and cuts the calls that run. */
	async close(): Promise<void> {
		for (const watch of this.#watches) {
			watch.close();
		}

		await Promise.all([this.#calls.close(), this.#polls.close()]);
	}

	async #change(
		method: 'PUT' | 'DELETE',
		name: string,
		expectedVersion: number,
		body?: string,
	): Promise<WriteResult> {
		const path = `${toPath(name)}?expected=${expectedVersion}`;
		const result = await this.#send(method, path, body);
		if (result.isErr) {
			return {kind: unwritten.has(result.error) ? 'failed' : 'unknown'};
		}

		const {status, value} = result.value;
		if (status === 409) {
			return {kind: 'conflict'};
		}

		const parsed = changeAnswerSchema.safeParse(value);
		return status === 200 && parsed.success
			? {kind: 'written', version: parsed.data.version}
			: {kind: 'unknown'};
	}

	async #send(
		method: 'GET' | 'PUT' | 'DELETE',
		path: string,
		body?: string,
	): Promise<Result<StoreAnswer, StoreError>> {
		const timeout = this.#options.callTimeout;
		const result = await this.#calls.send({method, path, body, timeout});
		if (result.isOk) {
			this.#onAnswered();
		}

		return result;
	}

	#watch<Schema extends z.ZodType<{version: number}>>(
		path: string,
		schema: Schema,
		onChanged: (value: z.infer<Schema>) => void,
	): Closeable {
		const watch = new Watch({
			connection: this.#polls,
			path,
			schema,
			span: this.#options.watchSpan,
			timeout: this.#options.callTimeout,
			random: this.#options.random,
			onChanged,
			onAnswered: () => {
				this.#onAnswered();
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

	#onAnswered(): void {
		this.#answeredAt = this.#options.clock.now();
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
	return new PlatformClient({...defaults, ...options});
}

function toPath(name: string): string {
	return `/objects/${encodeURIComponent(name)}`;
}

function toStoredObject(
	answer: z.infer<typeof objectAnswerSchema>,
): StoredObject {
	return {name: answer.name, version: answer.version, value: answer.value};
}
