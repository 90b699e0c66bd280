import type {AttemptEnded, Choice, Context, Router} from '@parsleyvale/kernel';
import type {Milliseconds, RequestId} from '@parsleyvale/shared';
import {cancelTimeout} from './limits.js';

type CancelledAttempt = {
	readonly choice: Choice;
	/** When its place is given back without word of its end. */
	readonly deadline: Milliseconds;
};

function toAttemptKey(requestId: RequestId, attempt: number): string {
	return `${attempt}/${requestId}`;
}

/**
 * Attempts whose requests have ended. Each holds its place until the edge says
 * that it is over, because the backend server is at work on it until then.
 */
export class CancelledAttempts {
	readonly #attempts = new Map<string, CancelledAttempt>();
	readonly #router: Router;

	constructor(router: Router) {
		this.#router = router;
	}

	get size(): number {
		return this.#attempts.size;
	}

	/** Cancels an attempt and keeps its place until it is over. */
	cancel(
		requestId: RequestId,
		attempt: number,
		choice: Choice,
		context: Context,
	): void {
		context.emit({type: 'cancel-attempt', requestId, attempt});
		this.#attempts.set(toAttemptKey(requestId, attempt), {
			choice,
			deadline: context.now + cancelTimeout,
		});
	}

	/** Gives the place back, once; an unknown attempt changes nothing. */
	end(event: AttemptEnded, context: Context): void {
		const key = toAttemptKey(event.requestId, event.attempt);
		const cancelled = this.#attempts.get(key);
		if (cancelled !== undefined) {
			this.#attempts.delete(key);
			this.#router.end(cancelled.choice, event, context);
		}
	}

	/** Gives the places back of attempts that were never heard of again. */
	endLate(context: Context): void {
		for (const [key, {choice, deadline}] of this.#attempts) {
			if (deadline <= context.now) {
				this.#attempts.delete(key);
				this.#router.end(choice, lostEnding, context);
			}
		}
	}
}

const lostEnding = {
	outcome: 'unknown',
	status: undefined,
	latency: undefined,
	bytes: 0,
	reportedLoad: undefined,
} as const;
