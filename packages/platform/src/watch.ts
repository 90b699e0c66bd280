import {setTimeout as wait} from 'node:timers/promises';
import type {Milliseconds} from '@parsleyvale/shared';
import type {z} from 'zod';
import {Backoff} from './backoff.js';
import type {StoreHttpClient} from './store-http-client.js';

export type WatchOptions<Schema extends z.ZodType<{version: number}>> = {
	readonly httpClient: StoreHttpClient;
	/** Path without the query. */
	readonly path: string;
	readonly schema: Schema;
	/** How long the store may keep a long poll open. */
	readonly pollDuration: Milliseconds;
	/** How long after the poll duration the response may still arrive. */
	readonly responseTimeout: Milliseconds;
	readonly random: () => number;
	readonly onChanged: (value: z.infer<Schema>) => void;
	/** Called after each valid response, with or without a new version. */
	readonly onResponse: () => void;
};

/**
 * Watches one path by successive long polls until it is closed. Reports only
 * increasing versions; versions in between may be skipped.
 */
export class Watch<Schema extends z.ZodType<{version: number}>> {
	readonly #options: WatchOptions<Schema>;
	readonly #abortController = new AbortController();
	readonly #backoff: Backoff;
	#version = 0;

	constructor(options: WatchOptions<Schema>) {
		this.#options = options;
		this.#backoff = new Backoff(options.random);
	}

	/** Polls until the watch is closed. */
	async run(): Promise<void> {
		while (!this.#abortController.signal.aborted) {
			const hasSucceeded = await this.#poll();
			if (hasSucceeded) {
				this.#backoff.reset();
			} else {
				await this.#sleep(this.#backoff.computeNextDelay());
			}
		}
	}

	close(): void {
		this.#abortController.abort();
	}

	async #poll(): Promise<boolean> {
		const {httpClient, path, pollDuration, responseTimeout} = this.#options;
		const result = await httpClient.send({
			method: 'GET',
			path: `${path}?after=${this.#version}&wait=${pollDuration}`,
			timeout: pollDuration + responseTimeout,
			signal: this.#abortController.signal,
		});
		if (result.isErr || this.#abortController.signal.aborted) {
			return false;
		}

		const {status, value} = result.value;
		if (status === 304) {
			this.#options.onResponse();
			return true;
		}

		return status === 200 && this.#deliver(value);
	}

	#deliver(response: unknown): boolean {
		const parsed = this.#options.schema.safeParse(response);
		if (!parsed.success || parsed.data.version <= this.#version) {
			return false;
		}

		this.#version = parsed.data.version;
		this.#options.onResponse();
		this.#options.onChanged(parsed.data);
		return true;
	}

	async #sleep(duration: Milliseconds): Promise<void> {
		try {
			await wait(duration, undefined, {signal: this.#abortController.signal});
		} catch {
			// The delay is aborted only when the watch is closed.
		}
	}
}
