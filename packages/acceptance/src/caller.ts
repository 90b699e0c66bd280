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

type LookUpAnswer = {
	readonly lifetimeMs: Milliseconds;
	readonly hosts: readonly LookUpHost[];
};

/** How one request of a caller ended. */
export type CallOutcome = {
	readonly kind:
		| 'whole'
		/** The answer was not the one to this request, or not all of it. */
		| 'wrong'
		| 'refused-not-run'
		| 'refused'
		| 'broken';
	readonly idempotencyKey: string | undefined;
	readonly detail: string;
};

export type CallerOptions = {
	readonly key: string;
	/** Entry hosts to ask first, as a client would be configured. */
	readonly entries: () => ReadonlyArray<{address: string; port: number}>;
};

const bodyBytes = 256;

/** A caller as `docs/CALLERS.md` asks: caches look-ups, repeats what is safe. */
export class Caller {
	readonly #options: CallerOptions;
	readonly #agent = new Agent({keepAliveTimeout: 10_000});
	#hosts: readonly LookUpHost[] = [];
	#expiresAt = 0;

	constructor(options: CallerOptions) {
		this.#options = options;
	}

	/** Uploads a body of its own and checks that it comes back. */
	async upload(
		isIdempotent: boolean,
		timeLeft?: Milliseconds,
	): Promise<CallOutcome> {
		const body = randomBytes(bodyBytes);
		const idempotencyKey = isIdempotent ? randomUUID() : undefined;
		const wanted = createHash('sha256').update(body).digest('hex');
		try {
			const [host] = await this.#lookUp();
			const answer = await this.#send(host!, body, idempotencyKey, timeLeft);
			return await judge(answer, wanted, idempotencyKey);
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
		for (const {address, port} of this.#options.entries()) {
			try {
				const answer = await request(`http://${address}:${port}${lookUpPath}`, {
					dispatcher: this.#agent,
					headers: this.#toHeaders(),
				});
				const found = (await answer.body.json()) as LookUpAnswer;
				this.#hosts = found.hosts;
				this.#expiresAt = sentAt + found.lifetimeMs;
				return this.#hosts;
			} catch {
				await wait(1);
			}
		}

		throw new Error('No entry host answers look-ups.');
	}

	async #send(
		host: LookUpHost,
		body: Uint8Array,
		idempotencyKey: string | undefined,
		timeLeft: Milliseconds | undefined,
	): Promise<Dispatcher.ResponseData> {
		const headers = this.#toHeaders();
		if (idempotencyKey !== undefined) {
			headers['idempotency-key'] = idempotencyKey;
		}

		if (timeLeft !== undefined) {
			headers['x-deadline-ms'] = String(timeLeft);
		}

		return request(`http://${host.address}:${host.port}/echo`, {
			dispatcher: this.#agent,
			method: 'POST',
			headers,
			body,
		});
	}

	#toHeaders(): Record<string, string> {
		return {authorization: `Bearer ${this.#options.key}`};
	}
}

async function judge(
	answer: Dispatcher.ResponseData,
	wanted: string,
	idempotencyKey: string | undefined,
): Promise<CallOutcome> {
	const bytes = new Uint8Array(await answer.body.arrayBuffer());
	if (answer.statusCode === 200) {
		const found = createHash('sha256').update(bytes).digest('hex');
		const isOwn = found === wanted || isNamedIn(answer, bytes);
		const kind = isOwn ? 'whole' : 'wrong';
		return {kind, idempotencyKey, detail: ''};
	}

	const detail = new TextDecoder().decode(bytes);
	const kind =
		answer.headers['x-not-run'] === 'true' ? 'refused-not-run' : 'refused';
	return {kind, idempotencyKey, detail};
}

/** Faulty servers answer with JSON that names the request they answer. */
function isNamedIn(
	answer: Dispatcher.ResponseData,
	bytes: Uint8Array,
): boolean {
	try {
		const body = JSON.parse(new TextDecoder().decode(bytes)) as {
			requestId?: string;
		};
		return body.requestId === answer.headers['x-request-id'];
	} catch {
		return false;
	}
}
