import {Buffer} from 'node:buffer';
import {Agent, request, type IncomingMessage} from 'node:http';
import type {Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {connectTimeoutCode, StoreError, toStoreError} from './store-error.js';

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

/**
 * Connections to the object API that are used again. Node's own client: the
 * memory of another one on each host of a fleet would be paid for a few calls a
 * second.
 */
export class StoreConnection {
	readonly #options: StoreConnectionOptions;
	readonly #agent: Agent;

	constructor(options: StoreConnectionOptions) {
		this.#options = options;
		this.#agent = new Agent({
			keepAlive: true,
			maxSockets: options.connections ?? Number.POSITIVE_INFINITY,
		});
	}

	/** Sends a call once; it is never repeated here. */
	async send(call: StoreCall): Promise<Result<StoreAnswer, StoreError>> {
		const timeout = AbortSignal.timeout(call.timeout);
		const signal = call.signal
			? AbortSignal.any([timeout, call.signal])
			: timeout;
		try {
			const answer = await this.#exchange(call, signal);
			const status = answer.statusCode ?? 0;
			const text = await readText(answer);
			return refusingStatuses.has(status)
				? Result.err(StoreError.Refused)
				: parseAnswer(status, text);
		} catch (error) {
			return Result.err(toStoreError(error));
		}
	}

	/** Cuts every call that runs. */
	async close(): Promise<void> {
		this.#agent.destroy();
	}

	async #exchange(
		{method, path, body}: StoreCall,
		signal: AbortSignal,
	): Promise<IncomingMessage> {
		return new Promise((resolve, reject) => {
			const headers =
				body === undefined
					? {}
					: {
							'content-type': 'application/json',
							'content-length': Buffer.byteLength(body),
						};
			const sent = request(
				new URL(path, this.#options.url),
				{method, headers, agent: this.#agent, signal},
				(answer) => {
					resolve(answer);
				},
			);
			sent.on('error', reject);
			sent.on('socket', (socket) => {
				if (socket.connecting) {
					const timer = setTimeout(() => {
						const error = new Error(
							'The store accepted no connection in time.',
						);
						socket.destroy(Object.assign(error, {code: connectTimeoutCode}));
					}, this.#options.connectTimeout);
					socket.once('connect', () => {
						clearTimeout(timer);
					});
					socket.once('close', () => {
						clearTimeout(timer);
					});
				}
			});
			sent.end(body);
		});
	}
}

async function readText(answer: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	for await (const chunk of answer) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks).toString('utf8');
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
