import type {ServerResponse} from 'node:http';
import type {
	CancelAttempt,
	Forward,
	KernelEvent,
	Refuse,
} from '@parsleyvale/kernel';
import type {Clock, RequestId} from '@parsleyvale/shared';
import {Attempt} from './attempt.js';
import type {CallerHeader} from './caller-header.js';
import {sendRefusal} from './refusal.js';
import type {RequestBody} from './request-body.js';
import type {ServerConnections} from './server-connections.js';

export type ExchangeOptions = {
	readonly requestId: RequestId;
	readonly method: string;
	readonly header: CallerHeader;
	readonly body: RequestBody;
	/** The caller waits for word to send its body. */
	readonly isHeldBack: boolean;
	readonly response: ServerResponse;
	readonly connections: ServerConnections;
	readonly clock: Clock;
	readonly onEvent: (event: KernelEvent) => void;
};

/** One request of a caller and the attempts made for it. */
export class Exchange {
	readonly #options: ExchangeOptions;
	readonly #attempts = new Map<number, Attempt>();
	#isHeldBack: boolean;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#isHeldBack = options.isHeldBack;
	}

	forward(forward: Forward): void {
		const {response, body, method, clock, onEvent, connections} = this.#options;
		if (this.#isHeldBack) {
			this.#isHeldBack = false;
			response.writeContinue();
		}

		const attempt = new Attempt({
			forward,
			response,
			body,
			method,
			clock,
			onEvent,
		});
		this.#attempts.set(forward.attempt, attempt);
		connections.getPool(forward.server).dispatch(
			{
				method,
				path: this.#options.header.target.pathAndQuery,
				headers: this.#toFields(forward),
				body: body.open(),
				// The connection is one request's own until its answer is whole.
				blocking: true,
			},
			attempt,
		);
	}

	cancelAttempt(effect: CancelAttempt): void {
		this.#attempts.get(effect.attempt)?.cancel();
	}

	refuse(effect: Refuse): void {
		const {requestId, retryAfter} = effect;
		sendRefusal(this.#options.response, effect.kind, {requestId, retryAfter});
	}

	#toFields(forward: Forward): string[] {
		const {header, requestId, clock} = this.#options;
		const timeLeft = Math.max(1, Math.ceil(forward.deadline - clock.now()));
		const fields = [
			...header.forwarded,
			'x-request-id',
			requestId,
			'x-deadline-ms',
			String(timeLeft),
		];
		if (forward.customer !== undefined) {
			fields.push('x-customer', forward.customer);
		}

		if (header.bodyBytes !== undefined && header.bodyBytes > 0) {
			fields.push('content-length', String(header.bodyBytes));
		}

		return fields;
	}
}
