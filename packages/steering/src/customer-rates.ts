import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './messages/digest.js';
import {
	FleetRates,
	type Demand,
	type FleetRatesOptions,
	type RateCounts,
	type RateLimit,
} from './fleet-rates.js';
import type {RateTolerance} from './settings.js';

/** Time constant of the demand average: two intervals between digests to all hosts. */
const demandTimeConstant: Milliseconds = second;
/** Fraction of a rate that is shared by demand; the rest is shared evenly among hosts. */
const demandWeight = 0.9;
/** Tokens that a host's share accumulates: enough for two requests in a row. */
const maximumShareTokens = 2;

export type CustomerRatesOptions = FleetRatesOptions & {
	/** Whether buckets start full; after a restart, earlier admissions are not known. */
	readonly isFirstStart: boolean;
	readonly tolerance: RateTolerance;
};

/** Enforces customers' rates and bursts over all hosts. */
export class CustomerRates extends FleetRates {
	readonly #isFirstStart: boolean;
	readonly #tolerance: RateTolerance;

	constructor(options: CustomerRatesOptions) {
		super(options);
		this.#isFirstStart = options.isFirstStart;
		this.#tolerance = options.tolerance;
	}

	protected override get demandTimeConstant(): Milliseconds {
		return demandTimeConstant;
	}

	protected override get maximumReportsInTransit(): number {
		return 3;
	}

	protected override get areCountsComplete(): boolean {
		return false;
	}

	protected override computeOwnShare(
		_limit: RateLimit,
		{own, others, liveFraction, evenShare}: Demand,
	): number {
		let sum = own;
		for (const {demand} of others) {
			sum += demand;
		}

		const demandShare = sum > 0 ? (own / sum) * liveFraction : evenShare;
		return demandWeight * demandShare + (1 - demandWeight) * evenShare;
	}

	protected override computeMaximumShareTokens(): number {
		return maximumShareTokens;
	}

	protected override getCounts({customers}: Digest): RateCounts | undefined {
		return customers;
	}

	/**
	 * After a restart, a bucket starts with half of the tolerated excess, since the
	 * customer may have used its whole rate and burst before.
	 */
	protected override computeInitialTokens({
		ratePerSecond,
		burst,
	}: RateLimit): number {
		if (this.#isFirstStart) {
			return burst;
		}

		const {windowDuration, fraction, requests} = this.#tolerance;
		const entitlement = (ratePerSecond * windowDuration) / second + burst;
		return Math.min(burst, (fraction * entitlement + requests) / 2);
	}
}
