import type {AttemptEnded, Choice, Context, Router} from '@parsleyvale/kernel';
import type {Milliseconds, RequestId} from '@parsleyvale/shared';
import {cancelTimeout} from './limits.js';

type CancelledAttempt = {
	readonly choice: Choice;
	/** When its slot is released even if its end was not reported. */
	readonly deadline: Milliseconds;
};

function toAttemptKey(requestId: RequestId, attempt: number): string {
	return `${attempt}/${requestId}`;
}

/**
 * Attempts that were cancelled when their requests ended. Each keeps its slot until
 * its end is reported, because the server may be processing it until then.
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

	/** Cancels an attempt and keeps its slot until it ends. */
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

	/** Releases the slot of a cancelled attempt. Ignores unknown attempts. */
	endAttempt(event: AttemptEnded, context: Context): void {
		const key = toAttemptKey(event.requestId, event.attempt);
		const cancelled = this.#attempts.get(key);
		if (cancelled !== undefined) {
			this.#attempts.delete(key);
			this.#router.endAttempt(cancelled.choice, event, context);
		}
	}

	/** Releases the slots of attempts whose end was not reported in time. */
	endExpired(context: Context): void {
		for (const [key, {choice, deadline}] of this.#attempts) {
			if (deadline <= context.now) {
				this.#attempts.delete(key);
				this.#router.endAttempt(choice, unknownResult, context);
			}
		}
	}
}

const unknownResult = {
	outcome: 'unknown',
	status: undefined,
	latency: undefined,
	bytes: 0,
	reportedLoad: undefined,
} as const;
