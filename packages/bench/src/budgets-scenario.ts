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

/** How callers are distributed over entry hosts. */
export type Steering =
	/** Each request goes to any host. */
	| 'spread'
	/** Each customer uses three hosts. */
	| 'steered'
	/** Large customers use three hosts, small customers one. */
	| 'steered-by-burst';

const steeredHostCount = 3;
/** Customers with a smaller burst use a single host. */
const smallBurstLimit = 50;
const warmUpDuration: Milliseconds = 12 * second;

export type ScenarioOptions = {
	readonly site: Site;
	readonly seed: number;
	readonly steering: Steering;
	readonly isLending: boolean;
};

/** Requests of a customer: offered, taken, and allowed by a single global token bucket. */
export class CustomerStats {
	offered = 0;
	taken = 0;
	allowed = 0;
	/** Number of requests taken beyond rate and burst. */
	overruns = 0;
	readonly #customer: Customer;
	#allowedTokens: number;
	#takenTokens: number;
	#refilledAt: Milliseconds = 0;

	constructor(customer: Customer) {
		this.#customer = customer;
		this.#allowedTokens = customer.burst * second;
		this.#takenTokens = customer.burst * second;
	}

	get wrongfullyRefused(): number {
		return Math.max(0, this.allowed - this.taken);
	}

	recordOffered(now: Milliseconds): void {
		this.#refill(now);
		this.offered++;
		if (this.#allowedTokens >= second) {
			this.#allowedTokens -= second;
			this.allowed++;
		}
	}

	recordTaken(now: Milliseconds): void {
		this.#refill(now);
		this.taken++;
		this.#takenTokens -= second;
		if (this.#takenTokens < 0) {
			this.overruns++;
		}
	}

	resetCounts(): void {
		this.offered = 0;
		this.taken = 0;
		this.allowed = 0;
	}

	/** Tokens are counted in thousandths, so that each millisecond adds the rate. */
	#refill(now: Milliseconds): void {
		const addedTokens = this.#customer.ratePerSecond * (now - this.#refilledAt);
		const capacity = this.#customer.burst * second;
		this.#allowedTokens = Math.min(capacity, this.#allowedTokens + addedTokens);
		this.#takenTokens = Math.min(capacity, this.#takenTokens + addedTokens);
		this.#refilledAt = now;
	}
}

/** A fleet with callers whose load is a multiple of their customer's rate. */
export class Scenario {
	readonly fleet: Fleet;
	readonly customerStats: CustomerStats[];
	/** Offered load of each customer as a multiple of its rate. */
	readonly loadFactors: number[];
	/** Hosts that are no longer included in look-up responses. */
	readonly drainingHosts = new Set<FleetHost>();
	readonly #options: ScenarioOptions;
	#firstHostIndex = 0;

	constructor(options: ScenarioOptions, loadFactor = 0.95) {
		this.#options = options;
		const {site, seed, isLending} = options;
		this.fleet = new Fleet({site, seed, isLending, customers});
		this.customerStats = customers.map(
			(customer) => new CustomerStats(customer),
		);
		this.loadFactors = customers.map(() => loadFactor);
		for (const [index] of customers.entries()) {
			this.#scheduleNextRequest(index);
		}

		this.fleet.run(warmUpDuration);
		this.resetCounts();
	}

	/** Resets all counters. */
	resetCounts(): void {
		this.fleet.counts.messages = 0;
		this.fleet.counts.bytes = 0;
		this.fleet.counts.storeCalls = 0;
		for (const stats of this.customerStats) {
			stats.resetCounts();
		}
	}

	/** Moves callers to other hosts. */
	moveCallers(): void {
		this.#firstHostIndex += steeredHostCount;
	}

	sendRequest(index: number, host: FleetHost): void {
		const stats = this.customerStats[index]!;
		stats.recordOffered(this.fleet.now);
		this.fleet.take(host, toBudgetId(customers[index]!), (isTaken) => {
			if (isTaken) {
				stats.recordTaken(this.fleet.now);
			}
		});
	}

	#scheduleNextRequest(index: number): void {
		const requestsPerSecond =
			customers[index]!.ratePerSecond * this.loadFactors[index]!;
		// A customer without load is checked again after 100 ms on average.
		const meanInterval =
			requestsPerSecond === 0 ? second / 10 : second / requestsPerSecond;
		this.fleet.schedule(this.fleet.random.nextInterval(meanInterval), () => {
			if (requestsPerSecond > 0) {
				this.sendRequest(index, this.#chooseHost(index));
			}

			this.#scheduleNextRequest(index);
		});
	}

	#chooseHost(index: number): FleetHost {
		const liveHosts = this.fleet.hosts.filter(
			(host) => host.isAlive && !this.drainingHosts.has(host),
		);
		if (this.#options.steering === 'spread') {
			return liveHosts[this.fleet.random.nextInteger(liveHosts.length)]!;
		}

		const isSmall = customers[index]!.burst < smallBurstLimit;
		const usesSingleHost =
			isSmall && this.#options.steering === 'steered-by-burst';
		const offset = this.fleet.random.nextInteger(
			usesSingleHost ? 1 : steeredHostCount,
		);
		return liveHosts[
			(this.#firstHostIndex + index + offset * 3) % liveHosts.length
		]!;
	}
}
