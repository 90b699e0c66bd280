import {
	second,
	type Configuration,
	type Milliseconds,
} from '@parsleyvale/shared';

const meterWindow: Milliseconds = second;

type CustomerEntry = {
	weight: number;
	ratePerSecond: number;
	/** Tokens taken on this host since the window began. */
	tokens: number;
	windowStart: Milliseconds;
	/** Tokens taken in the window before. */
	earlierTokens: number;
};

/** What the request path needs to know of each customer. */
export class CustomerTable {
	#entries = new Map<string, CustomerEntry>();

	/** Puts the customers of a configuration in force. */
	apply(configuration: Configuration): void {
		const earlier = this.#entries;
		this.#entries = new Map();
		for (const {name, weight, ratePerSecond} of configuration.customers) {
			const entry = earlier.get(name) ?? {
				tokens: 0,
				windowStart: 0,
				earlierTokens: 0,
			};
			this.#entries.set(name, {...entry, weight, ratePerSecond});
		}
	}

	/** The customer's weight; callers of open routes count as one customer. */
	getWeight(customer: string | undefined): number {
		return this.#entries.get(customer ?? '')?.weight ?? 1;
	}

	countToken(customer: string, now: Milliseconds): void {
		const entry = this.#entries.get(customer);
		if (entry !== undefined) {
			this.#advance(entry, now);
			entry.tokens++;
		}
	}

	/** Whether this host alone has taken the customer's whole rate of late. */
	isOverRate(customer: string, now: Milliseconds): boolean {
		const entry = this.#entries.get(customer);
		if (entry === undefined) {
			return false;
		}

		this.#advance(entry, now);
		return Math.max(entry.tokens, entry.earlierTokens) >= entry.ratePerSecond;
	}

	#advance(entry: CustomerEntry, now: Milliseconds): void {
		const age = now - entry.windowStart;
		if (age < meterWindow) {
			return;
		}

		entry.earlierTokens = age < 2 * meterWindow ? entry.tokens : 0;
		entry.tokens = 0;
		entry.windowStart = now;
	}
}
