import type {Milliseconds} from '@parsleyvale/shared';

export type RepeatBudgetOptions = {
	/** Repeats for each request that arrived. */
	readonly ratio: number;
	/** Repeats besides, in each window, over all hosts. */
	readonly allowance: number;
	readonly window: Milliseconds;
};

/** Part of the bound that is used; the rest covers windows that lie badly. */
const usedPart = 0.7;

/** In a large fleet a host's part of the allowance is less than one repeat: what it earns still gathers up to one. */
const wholeRepeat = 1;

type Account = {repeats: number; refilledAt: Milliseconds};

/** How often requests may be sent once more, for each service. */
export class RepeatBudget {
	readonly #options: RepeatBudgetOptions;
	readonly #accounts = new Map<string, Account>();

	constructor(options: RepeatBudgetOptions) {
		this.#options = options;
	}

	/** A request arrived for the service. */
	onRequest(service: string, hosts: number, now: Milliseconds): void {
		const account = this.#refill(service, hosts, now);
		const earned = this.#options.ratio * usedPart;
		const most = Math.max(wholeRepeat, this.#computeMost(hosts) + earned);
		account.repeats = Math.min(most, account.repeats + earned);
	}

	/** Takes one repeat, if there is one. */
	take(service: string, hosts: number, now: Milliseconds): boolean {
		const account = this.#refill(service, hosts, now);
		if (account.repeats < 1) {
			return false;
		}

		account.repeats -= 1;
		return true;
	}

	/** Gives a repeat back that was not sent. */
	giveBack(service: string): void {
		const account = this.#accounts.get(service);
		if (account !== undefined) {
			account.repeats += 1;
		}
	}

	/** What a full account and a window's refill add up to stays below the allowance. */
	#computeMost(hosts: number): number {
		return (this.#options.allowance * usedPart) / 2 / hosts;
	}

	#refill(service: string, hosts: number, now: Milliseconds): Account {
		const most = this.#computeMost(hosts);
		const account = this.#accounts.get(service) ?? {
			repeats: most,
			refilledAt: now,
		};
		const refill = (most * (now - account.refilledAt)) / this.#options.window;
		account.repeats = Math.max(
			account.repeats,
			Math.min(most, account.repeats + refill),
		);
		account.refilledAt = now;
		this.#accounts.set(service, account);
		return account;
	}
}
