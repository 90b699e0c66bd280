import {setTimeout as wait} from 'node:timers/promises';
import type {Milliseconds} from '@parsleyvale/shared';
import type {z} from 'zod';
import {Backoff} from './backoff.js';
import type {StoreConnection} from './store-connection.js';

export type WatchOptions<Schema extends z.ZodType<{version: number}>> = {
	readonly connection: StoreConnection;
	/** Path without the query. */
	readonly path: string;
	readonly schema: Schema;
	/** How long the store may hold one long poll. */
	readonly span: Milliseconds;
	/** How much later an answer may come. */
	readonly timeout: Milliseconds;
	readonly random: () => number;
	readonly onChanged: (value: z.infer<Schema>) => void;
	/** Called after each answer, with the time the poll was sent at. */
	readonly onAnswered: () => void;
};

/**
 * One long poll at a time, renewed until closed. Tells of rising versions
 * alone; versions in between may be passed over.
 */
export class Watch<Schema extends z.ZodType<{version: number}>> {
	readonly #options: WatchOptions<Schema>;
	readonly #abort = new AbortController();
	readonly #backoff: Backoff;
	#version = 0;

	constructor(options: WatchOptions<Schema>) {
		this.#options = options;
		this.#backoff = new Backoff(options.random);
	}

	/** Polls until the watch is closed. */
	async run(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			const isAnswered = await this.#poll();
			if (isAnswered) {
				this.#backoff.onSuccess();
			} else {
				await this.#wait(this.#backoff.onFailure());
			}
		}
	}

	close(): void {
		this.#abort.abort();
	}

	async #poll(): Promise<boolean> {
		const {connection, path, span, timeout} = this.#options;
		const result = await connection.send({
			method: 'GET',
			path: `${path}?after=${this.#version}&wait=${span}`,
			timeout: span + timeout,
			signal: this.#abort.signal,
		});
		if (result.isErr || this.#abort.signal.aborted) {
			return false;
		}

		const {status, value} = result.value;
		if (status === 304) {
			this.#options.onAnswered();
			return true;
		}

		return status === 200 && this.#deliver(value);
	}

	#deliver(answer: unknown): boolean {
		const parsed = this.#options.schema.safeParse(answer);
		if (!parsed.success || parsed.data.version <= this.#version) {
			return false;
		}

		this.#version = parsed.data.version;
		this.#options.onAnswered();
		this.#options.onChanged(parsed.data);
		return true;
	}

	async #wait(span: Milliseconds): Promise<void> {
		try {
			await wait(span, undefined, {signal: this.#abort.signal});
		} catch {
			// Only closing the watch ends the pause early.
		}
	}
}
