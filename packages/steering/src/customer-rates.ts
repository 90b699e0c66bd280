import {second} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
import {
	FleetRates,
	type FleetRatesOptions,
	type RateCounts,
	type RateLimit,
} from './fleet-rates.js';
import type {RateTolerance} from './settings.js';

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

	protected override get maximumReportsInTransit(): number {
		return 3;
	}

	protected override get areCountsComplete(): boolean {
		return false;
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
