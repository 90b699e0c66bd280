import {Buffer} from 'node:buffer';
import {
	Agent,
	request,
	type IncomingHttpHeaders,
	type IncomingMessage,
} from 'node:http';
import {ByteCollector} from '@parsleyvale/held-bytes';
import type {Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {connectTimeoutCode, StoreError, toStoreError} from './store-error.js';

/** An HTTP request to the object API. */
export type StoreRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	/** JSON text. */
	readonly body?: string;
	readonly timeout: Milliseconds;
	readonly signal?: AbortSignal;
};

/** A response of the store; the value is undefined if the body is empty. */
export type StoreResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly value: unknown;
};

export type StoreHttpClientOptions = {
	readonly url: string;
	readonly connectTimeout: Milliseconds;
	/** Limit on simultaneous connections; null for none. */
	readonly maximumConnections: number | null;
};

/** A page of a list or the largest configuration is far smaller. */
const maximumResponseBytes = 32 * 1024 * 1024;

/** Statuses of requests that the store rejects before executing them. */
const rejectionStatuses: ReadonlySet<number> = new Set([413, 429]);

/**
 * HTTP client of the object API with persistent connections. It uses Node's own
 * client, since another one would take memory on every host of the fleet for only
 * a few requests per second.
 */
export class StoreHttpClient {
	readonly #options: StoreHttpClientOptions;
	readonly #agent: Agent;

	constructor(options: StoreHttpClientOptions) {
		this.#options = options;
		this.#agent = new Agent({
			keepAlive: true,
			maxSockets: options.maximumConnections ?? Number.POSITIVE_INFINITY,
		});
	}

	/** Sends a request once, without retries. */
	async send(
		storeRequest: StoreRequest,
	): Promise<Result<StoreResponse, StoreError>> {
		const timeout = AbortSignal.timeout(storeRequest.timeout);
		const signal = storeRequest.signal
			? AbortSignal.any([timeout, storeRequest.signal])
			: timeout;
		try {
			const response = await this.#sendRequest(storeRequest, signal);
			const status = response.statusCode ?? 0;
			const text = await readText(response);
			if (text === undefined) {
				return Result.err(StoreError.MalformedAnswer);
			}

			return rejectionStatuses.has(status)
				? Result.err(StoreError.Refused)
				: parseResponse(status, response.headers, text);
		} catch (error) {
			return Result.err(toStoreError(error));
		}
	}

	/** Closes all connections, including those with a request in flight. */
	async close(): Promise<void> {
		this.#agent.destroy();
	}

	async #sendRequest(
		{method, path, body}: StoreRequest,
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
			const clientRequest = request(
				new URL(path, this.#options.url),
				{method, headers, agent: this.#agent, signal},
				(response) => {
					resolve(response);
				},
			);
			clientRequest.on('error', reject);
			clientRequest.on('socket', (socket) => {
				if (socket.connecting) {
					const timer = setTimeout(() => {
						const error = new Error(
							'connection to the store was not established in time',
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
			clientRequest.end(body);
		});
	}
}

/** Reads a body, or returns undefined if it is too long, and closes the connection. */
async function readText(
	response: IncomingMessage,
): Promise<string | undefined> {
	const collector = new ByteCollector();
	for await (const chunk of response) {
		collector.add(chunk as Buffer);
		if (collector.length > maximumResponseBytes) {
			return undefined;
		}
	}

	return collector.toBuffer().toString('utf8');
}

function parseResponse(
	status: number,
	headers: IncomingHttpHeaders,
	text: string,
): Result<StoreResponse, StoreError> {
	if (text === '') {
		return Result.ok({status, headers, value: undefined});
	}

	try {
		return Result.ok({status, headers, value: JSON.parse(text) as unknown});
	} catch {
		return Result.err(StoreError.MalformedAnswer);
	}
}
