import {
	second,
	type Configuration,
	type Milliseconds,
} from '@parsleyvale/shared';

const rateWindow: Milliseconds = second;

type CustomerEntry = {
	weight: number;
	ratePerSecond: number;
	/** Tokens that this host took in the current window. */
	takenTokens: number;
	windowStart: Milliseconds;
	/** The same in the previous window. */
	previousTakenTokens: number;
};

/** Weights and token counts of the customers, for the request path. */
export class CustomerTable {
	#entries = new Map<string, CustomerEntry>();

	/** Replaces the customers; the token counts of known customers are kept. */
	applyConfiguration(configuration: Configuration): void {
		const previous = this.#entries;
		this.#entries = new Map();
		for (const {name, weight, ratePerSecond} of configuration.customers) {
			const entry = previous.get(name) ?? {
				takenTokens: 0,
				windowStart: 0,
				previousTakenTokens: 0,
			};
			this.#entries.set(name, {...entry, weight, ratePerSecond});
		}
	}

	/** Weight of the customer; callers of public routes count as one customer. */
	getWeight(customer: string | undefined): number {
		return this.#entries.get(customer ?? '')?.weight ?? 1;
	}

	countToken(customer: string, now: Milliseconds): void {
		const entry = this.#entries.get(customer);
		if (entry !== undefined) {
			this.#advanceWindow(entry, now);
			entry.takenTokens++;
		}
	}

	/** Whether this host alone took the whole rate in the current or last window. */
	hasReachedRate(customer: string, now: Milliseconds): boolean {
		const entry = this.#entries.get(customer);
		if (entry === undefined) {
			return false;
		}

		this.#advanceWindow(entry, now);
		return (
			Math.max(entry.takenTokens, entry.previousTakenTokens) >=
			entry.ratePerSecond
		);
	}

	#advanceWindow(entry: CustomerEntry, now: Milliseconds): void {
		const age = now - entry.windowStart;
		if (age < rateWindow) {
			return;
		}

		entry.previousTakenTokens = age < 2 * rateWindow ? entry.takenTokens : 0;
		entry.takenTokens = 0;
		entry.windowStart = now;
	}
}
