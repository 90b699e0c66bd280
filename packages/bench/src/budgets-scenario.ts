import {second, type Milliseconds} from '@parsleyvale/shared';
import {
	Fleet,
	toBudgetId,
	type Customer,
	type FleetHost,
} from './budgets-fleet.js';
import type {Site} from './budgets-sites.js';

/** Eight customers, two of them large. */
export const customers: readonly Customer[] = [
	{name: 'large-1', ratePerSecond: 200, burst: 100},
	{name: 'large-2', ratePerSecond: 200, burst: 100},
	...[1, 2, 3, 4, 5, 6].map((number) => ({
		name: `small-${number}`,
		ratePerSecond: 20,
		burst: 15,
	})),
];

/** How callers come to entry hosts. */
export type Steering =
	/** To any host. */
	| 'spread'
	/** To three hosts for each customer. */
	| 'steered'
	/** Large customers to three hosts, small ones to one. */
	| 'steered-by-burst';

const steeredHosts = 3;
/** A burst below this is kept whole on one host. */
const smallBurst = 50;
const warmUp: Milliseconds = 12 * second;

export type ScenarioOptions = {
	readonly site: Site;
	readonly seed: number;
	readonly steering: Steering;
	readonly isLending: boolean;
};

/** What one customer asked and got, and what one global bucket would give. */
export class Tally {
	offered = 0;
	taken = 0;
	allowed = 0;
	/** How often what was taken went beyond rate and burst. */
	overruns = 0;
	readonly #customer: Customer;
	#allowedTokens: number;
	#takenTokens: number;
	#at: Milliseconds = 0;

	constructor(customer: Customer) {
		this.#customer = customer;
		this.#allowedTokens = customer.burst * second;
		this.#takenTokens = customer.burst * second;
	}

	get wrongfullyRefused(): number {
		return Math.max(0, this.allowed - this.taken);
	}

	onOffered(now: Milliseconds): void {
		this.#refill(now);
		this.offered++;
		if (this.#allowedTokens >= second) {
			this.#allowedTokens -= second;
			this.allowed++;
		}
	}

	onTaken(now: Milliseconds): void {
		this.#refill(now);
		this.taken++;
		this.#takenTokens -= second;
		if (this.#takenTokens < 0) {
			this.overruns++;
		}
	}

	clear(): void {
		this.offered = 0;
		this.taken = 0;
		this.allowed = 0;
	}

	/** Tokens in thousandths, so that a millisecond adds the rate. */
	#refill(now: Milliseconds): void {
		const added = this.#customer.ratePerSecond * (now - this.#at);
		const capacity = this.#customer.burst * second;
		this.#allowedTokens = Math.min(capacity, this.#allowedTokens + added);
		this.#takenTokens = Math.min(capacity, this.#takenTokens + added);
		this.#at = now;
	}
}

/** A fleet with callers that ask at a part of their customer's rate. */
export class Scenario {
	readonly fleet: Fleet;
	readonly tallies: Tally[];
	/** Part of its rate that each customer asks for. */
	readonly load: number[];
	/** Hosts that look-up answers do not name any more. */
	readonly leaving = new Set<FleetHost>();
	readonly #options: ScenarioOptions;
	#firstHost = 0;

	constructor(options: ScenarioOptions, load = 0.95) {
		this.#options = options;
		const {site, seed, isLending} = options;
		this.fleet = new Fleet({site, seed, isLending, customers});
		this.tallies = customers.map((customer) => new Tally(customer));
		this.load = customers.map(() => load);
		for (const [index] of customers.entries()) {
			this.#schedule(index);
		}

		this.fleet.run(warmUp);
		this.clear();
	}

	/** Starts to count anew. */
	clear(): void {
		this.fleet.counts.messages = 0;
		this.fleet.counts.bytes = 0;
		this.fleet.counts.storeCalls = 0;
		for (const tally of this.tallies) {
			tally.clear();
		}
	}

	/** Callers move to other hosts. */
	moveDemand(): void {
		this.#firstHost += steeredHosts;
	}

	request(index: number, host: FleetHost): void {
		const tally = this.tallies[index]!;
		tally.onOffered(this.fleet.now);
		this.fleet.request(host, toBudgetId(customers[index]!), (isTaken) => {
			if (isTaken) {
				tally.onTaken(this.fleet.now);
			}
		});
	}

	#schedule(index: number): void {
		const perSecond = customers[index]!.ratePerSecond * this.load[index]!;
		// A customer without load is looked at again after a while.
		const mean = perSecond === 0 ? second / 10 : second / perSecond;
		this.fleet.delay(this.fleet.random.nextGap(mean), () => {
			if (perSecond > 0) {
				this.request(index, this.#chooseHost(index));
			}

			this.#schedule(index);
		});
	}

	#chooseHost(index: number): FleetHost {
		const live = this.fleet.hosts.filter(
			(host) => host.isAlive && !this.leaving.has(host),
		);
		if (this.#options.steering === 'spread') {
			return live[this.fleet.random.choose(live.length)]!;
		}

		const isSmall = customers[index]!.burst < smallBurst;
		const isWhole = isSmall && this.#options.steering === 'steered-by-burst';
		const chosen = this.fleet.random.choose(isWhole ? 1 : steeredHosts);
		return live[(this.#firstHost + index + chosen * 3) % live.length]!;
	}
}
