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
	/** Whether the caller waits for `100 Continue` before it sends the body. */
	readonly isAwaitingContinue: boolean;
	readonly response: ServerResponse;
	readonly connections: ServerConnections;
	readonly clock: Clock;
	readonly onEvent: (event: KernelEvent) => void;
};

/** A caller's request and the attempts to forward it to backend servers. */
export class Exchange {
	readonly #options: ExchangeOptions;
	readonly #attempts = new Map<number, Attempt>();
	#isAwaitingContinue: boolean;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.#isAwaitingContinue = options.isAwaitingContinue;
	}

	forward(effect: Forward): void {
		const {response, body, method, clock, onEvent, connections} = this.#options;
		if (this.#isAwaitingContinue) {
			this.#isAwaitingContinue = false;
			response.writeContinue();
		}

		const attempt = new Attempt({
			forward: effect,
			response,
			body,
			method,
			clock,
			onEvent,
		});
		this.#attempts.set(effect.attempt, attempt);
		connections.getPool(effect.server).dispatch(
			{
				method,
				path: this.#options.header.target.pathAndQuery,
				headers: this.#toRequestHeaders(effect),
				body: body.createSource(),
				// Reserves the connection for this request until the response has ended.
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

	#toRequestHeaders(effect: Forward): string[] {
		const {header, requestId, clock} = this.#options;
		const remainingTime = Math.max(1, Math.ceil(effect.deadline - clock.now()));
		const requestHeaders = [
			...header.forwardedFields,
			'x-request-id',
			requestId,
			'x-deadline-ms',
			String(remainingTime),
		];
		if (effect.customer !== undefined) {
			requestHeaders.push('x-customer', effect.customer);
		}

		if (header.bodyBytes !== undefined && header.bodyBytes > 0) {
			requestHeaders.push('content-length', String(header.bodyBytes));
		}

		return requestHeaders;
	}
}
