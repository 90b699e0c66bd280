import type {Milliseconds} from '@parsleyvale/shared';
import {Agent, request} from 'undici';

/** One call to the administration API. */
export type AdministrationCall = {
	readonly method: 'GET' | 'PUT' | 'POST';
	/** Path and query. */
	readonly path: string;
	/** JSON text. */
	readonly body?: string;
};

export type AdministrationTransportOptions = {
	readonly credential: string;
	/** Timeout for each call. */
	readonly callTimeout: Milliseconds;
};

/** Result of a single call to one entry host. */
export type CallResult =
	| {
			readonly kind: 'answered';
			readonly status: number;
			/** Parsed JSON; undefined if the body is not valid JSON. */
			readonly body: unknown;
	  }
	/** No connection was established: the entry host did not receive the call. */
	| {readonly kind: 'not-reached'; readonly message: string}
	/** The call may have been received, but no complete response arrived. */
	| {readonly kind: 'lost'; readonly message: string};

const connectTimeout: Milliseconds = 2000;
const connectErrorCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED',
	'ERR_INVALID_URL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends authenticated HTTP requests to entry hosts. */
export class AdministrationTransport {
	readonly #agent = new Agent({connect: {timeout: connectTimeout}});
	readonly #options: AdministrationTransportOptions;

	constructor(options: AdministrationTransportOptions) {
		this.#options = options;
	}

	/** Calls one entry host, without retries. */
	async send(url: string, call: AdministrationCall): Promise<CallResult> {
		try {
			const response = await request(new URL(call.path, url), {
				method: call.method,
				body: call.body ?? null,
				headers: {
					authorization: `Bearer ${this.#options.credential}`,
					...(call.body === undefined
						? {}
						: {'content-type': 'application/json'}),
				},
				dispatcher: this.#agent,
				signal: AbortSignal.timeout(this.#options.callTimeout),
			});
			const body = parseJson(await response.body.text());
			return {kind: 'answered', status: response.statusCode, body};
		} catch (error) {
			return toFailedCall(url, error);
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function toFailedCall(url: string, error: unknown): CallResult {
	const code =
		error instanceof Error && 'code' in error ? error.code : undefined;
	const reason = error instanceof Error ? error.message : String(error);
	const message = `${url}: ${reason}`;
	return connectErrorCodes.has(code)
		? {kind: 'not-reached', message}
		: {kind: 'lost', message};
}
