import type {Milliseconds} from '@parsleyvale/shared';
import {Agent, request} from 'undici';

/** One call to the administration API. */
export type AdministrationCall = {
	readonly method: 'GET' | 'PUT' | 'POST';
	/** With the query. */
	readonly path: string;
	/** JSON text. */
	readonly body?: string;
};

export type ConnectionOptions = {
	readonly credential: string;
	/** Longest wait for one answer. */
	readonly callTimeout: Milliseconds;
};

/** How one call to one entry host ended. */
export type CallResult =
	| {
			readonly kind: 'answered';
			readonly status: number;
			readonly value: unknown;
	  }
	/** No connection: the entry host has not seen the call. */
	| {readonly kind: 'not-reached'; readonly message: string}
	/** The call was sent and no whole answer came. */
	| {readonly kind: 'lost'; readonly message: string};

const connectTimeout: Milliseconds = 2000;
const notReachedCodes: ReadonlySet<unknown> = new Set([
	'ECONNREFUSED',
	'ERR_INVALID_URL',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Calls entry hosts with the operator's credential. */
export class AdministrationConnection {
	readonly #agent = new Agent({connect: {timeout: connectTimeout}});
	readonly #options: ConnectionOptions;

	constructor(options: ConnectionOptions) {
		this.#options = options;
	}

	/** Calls one entry host once. */
	async send(url: string, call: AdministrationCall): Promise<CallResult> {
		try {
			const answer = await request(new URL(call.path, url), {
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
			const value = parseJson(await answer.body.text());
			return {kind: 'answered', status: answer.statusCode, value};
		} catch (error) {
			return toFailure(url, error);
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

function toFailure(url: string, error: unknown): CallResult {
	const code =
		error instanceof Error && 'code' in error ? error.code : undefined;
	const reason = error instanceof Error ? error.message : String(error);
	const message = `${url}: ${reason}`;
	return notReachedCodes.has(code)
		? {kind: 'not-reached', message}
		: {kind: 'lost', message};
}
