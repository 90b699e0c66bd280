import type {Milliseconds} from '@parsleyvale/shared';

/** Other events, such as readiness checks, wait at most this long and one step. */
const maximumRunTime: Milliseconds = 5;

/** A connection with received bytes that have not been processed. */
export abstract class TurnTaker {
	/** Processes a bounded part; returns whether it can go on. */
	abstract runStep(): boolean;
}

/** Processes what connections have received in turn, one step of each at a time. */
export class ReadTurns {
	readonly #waiting = new Set<TurnTaker>();
	#isScheduled = false;

	add(taker: TurnTaker): void {
		this.#waiting.add(taker);
		this.#schedule();
	}

	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#run();
			});
		}
	}

	#run(): void {
		this.#isScheduled = false;
		const endsAt = performance.now() + maximumRunTime;
		// A taker that is added again is visited after all others.
		for (const taker of this.#waiting) {
			this.#waiting.delete(taker);
			if (taker.runStep()) {
				this.#waiting.add(taker);
			}

			if (performance.now() >= endsAt) {
				break;
			}
		}

		if (this.#waiting.size > 0) {
			this.#schedule();
		}
	}
}
