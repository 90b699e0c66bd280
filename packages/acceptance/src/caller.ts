import {createHash, randomBytes, randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request, type Dispatcher} from 'undici';
import {lookUpPath} from '@parsleyvale/daemon';
import type {Milliseconds} from '@parsleyvale/shared';

type LookUpHost = {
	readonly name: string;
	readonly address: string;
	readonly port: number;
};

type LookUpResponse = {
	readonly lifetimeMs: Milliseconds;
	readonly hosts: readonly LookUpHost[];
};

/** The outcome of one request of a caller. */
export type CallOutcome = {
	readonly kind:
		/** The complete response to this request. */
		| 'whole'
		/** The response to another request, or a truncated one. */
		| 'wrong'
		/** Refused, and the system states that the request was not executed. */
		| 'refused-not-run'
		| 'refused'
		/** The exchange failed without a complete response. */
		| 'broken';
	readonly idempotencyKey: string | undefined;
	readonly detail: string;
};

export type CallerOptions = {
	readonly key: string;
	/** Entry hosts to send look-ups to, in order; a client has them in its configuration. */
	readonly getEntryHosts: () => ReadonlyArray<{address: string; port: number}>;
};

const bodyBytes = 256;

/** A caller that follows `docs/CALLERS.md`: caches look-ups and sends idempotency keys. */
export class Caller {
	readonly #options: CallerOptions;
	readonly #agent = new Agent({keepAliveTimeout: 10_000});
	#hosts: readonly LookUpHost[] = [];
	#expiresAt = 0;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** Uploads a random body and checks that the response echoes it. */
	async upload(
		isIdempotent: boolean,
		timeout?: Milliseconds,
	): Promise<CallOutcome> {
		const body = randomBytes(bodyBytes);
		const idempotencyKey = isIdempotent ? randomUUID() : undefined;
		const expectedHash = createHash('sha256').update(body).digest('hex');
		try {
			const [host] = await this.#lookUp();
			const response = await this.#send(host!, body, idempotencyKey, timeout);
			return await classifyResponse(response, expectedHash, idempotencyKey);
		} catch (error) {
			return {kind: 'broken', idempotencyKey, detail: String(error)};
		}
	}

	async close(): Promise<void> {
		await this.#agent.close();
	}

	async #lookUp(): Promise<readonly LookUpHost[]> {
		if (performance.now() < this.#expiresAt) {
			return this.#hosts;
		}

		const sentAt = performance.now();
		for (const {address, port} of this.#options.getEntryHosts()) {
			try {
				const response = await request(
					`http://${address}:${port}${lookUpPath}`,
					{
						dispatcher: this.#agent,
						headers: this.#createHeaders(),
					},
				);
				const lookUp = (await response.body.json()) as LookUpResponse;
				this.#hosts = lookUp.hosts;
				this.#expiresAt = sentAt + lookUp.lifetimeMs;
				return this.#hosts;
			} catch {
				await wait(1);
			}
		}

		throw new Error('No entry host responded to the look-up.');
	}

	async #send(
		host: LookUpHost,
		body: Uint8Array,
		idempotencyKey: string | undefined,
		timeout: Milliseconds | undefined,
	): Promise<Dispatcher.ResponseData> {
		const headers = this.#createHeaders();
		if (idempotencyKey !== undefined) {
			headers['idempotency-key'] = idempotencyKey;
		}

		if (timeout !== undefined) {
			headers['x-deadline-ms'] = String(timeout);
		}

		return request(`http://${host.address}:${host.port}/echo`, {
			dispatcher: this.#agent,
			method: 'POST',
			headers,
			body,
		});
	}

	#createHeaders(): Record<string, string> {
		return {authorization: `Bearer ${this.#options.key}`};
	}
}

async function classifyResponse(
	response: Dispatcher.ResponseData,
	expectedHash: string,
	idempotencyKey: string | undefined,
): Promise<CallOutcome> {
	const bytes = new Uint8Array(await response.body.arrayBuffer());
	if (response.statusCode === 200) {
		const actualHash = createHash('sha256').update(bytes).digest('hex');
		const isOwnResponse =
			actualHash === expectedHash || hasMatchingRequestId(response, bytes);
		const kind = isOwnResponse ? 'whole' : 'wrong';
		return {kind, idempotencyKey, detail: ''};
	}

	const detail = new TextDecoder().decode(bytes);
	const kind =
		response.headers['x-not-run'] === 'true' ? 'refused-not-run' : 'refused';
	return {kind, idempotencyKey, detail};
}

/** In fault modes, servers send JSON with the id of the request instead of an echo. */
function hasMatchingRequestId(
	response: Dispatcher.ResponseData,
	bytes: Uint8Array,
): boolean {
	try {
		const body = JSON.parse(new TextDecoder().decode(bytes)) as {
			requestId?: string;
		};
		return body.requestId === response.headers['x-request-id'];
	} catch {
		return false;
	}
}
