import type {Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import {StoreError, toStoreError} from './store-error.js';

/** One HTTP call to the object API. */
export type StoreCall = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	/** JSON text. */
	readonly body?: string;
	readonly timeout: Milliseconds;
	readonly signal?: AbortSignal;
};

/** An answer of the store; the value is undefined where there is no body. */
export type StoreAnswer = {
	readonly status: number;
	readonly value: unknown;
};

export type StoreConnectionOptions = {
	readonly url: string;
	readonly connectTimeout: Milliseconds;
	/** Most connections at once; without a bound where it is null. */
	readonly connections: number | null;
};

const refusingStatuses: ReadonlySet<number> = new Set([413, 429]);

/** Connections to the object API that are used again. */
export class StoreConnection {
	readonly #pool: Pool;

	constructor(options: StoreConnectionOptions) {
		this.#pool = new Pool(options.url, {
			connections: options.connections,
			connect: {timeout: options.connectTimeout},
			pipelining: 1,
		});
	}

	/** Sends a call once; it is never repeated here. */
	async send(call: StoreCall): Promise<Result<StoreAnswer, StoreError>> {
		const timeout = AbortSignal.timeout(call.timeout);
		const signal = call.signal
			? AbortSignal.any([timeout, call.signal])
			: timeout;
		try {
			const {statusCode, body} = await this.#pool.request({
				method: call.method,
				path: call.path,
				body: call.body ?? null,
				headers: call.body ? {'content-type': 'application/json'} : {},
				signal,
			});
			const text = await body.text();
			return refusingStatuses.has(statusCode)
				? Result.err(StoreError.Refused)
				: parseAnswer(statusCode, text);
		} catch (error) {
			return Result.err(toStoreError(error));
		}
	}

	/** Cuts every call that runs. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

function parseAnswer(
	status: number,
	text: string,
): Result<StoreAnswer, StoreError> {
	if (text === '') {
		return Result.ok({status, value: undefined});
	}

	try {
		return Result.ok({status, value: JSON.parse(text) as unknown});
	} catch {
		return Result.err(StoreError.MalformedAnswer);
	}
}
