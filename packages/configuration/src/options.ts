import {second, type Milliseconds} from '@parsleyvale/shared';

/**
 * Rules that keep the promises. Tests turn one off to show that it is needed.
 *
 * @internal
 */
export type Safeguards = {
	/** A version in force is never replaced by an older one. */
	readonly risingVersions: boolean;
	/** A lost answer of the store is resolved by the operation id. */
	readonly readBack: boolean;
	/** A withdrawn key stays withdrawn, whatever a configuration says. */
	readonly monotoneWithdrawals: boolean;
	/** Keys are refused without recent word of what is withdrawn. */
	readonly freshness: boolean;
	/** A vouch counts from the sending of the request that it answers. */
	readonly ageFromRequest: boolean;
	/** A host vouches only when it knows all that was acknowledged. */
	readonly syncedVouchers: boolean;
	/** An acknowledgement waits until the store has the withdrawal. */
	readonly waitForStore: boolean;
	/** An acknowledgement waits for a majority that confirmed after the store. */
	readonly waitForMajority: boolean;
	/** Only what was confirmed after the store had it counts. */
	readonly confirmAfterStore: boolean;
	/** An acknowledgement waits until older rights have ended. */
	readonly waitForFreshness: boolean;
};

const allSafeguards: Safeguards = {
	risingVersions: true,
	readBack: true,
	monotoneWithdrawals: true,
	freshness: true,
	ageFromRequest: true,
	syncedVouchers: true,
	waitForStore: true,
	waitForMajority: true,
	confirmAfterStore: true,
	waitForFreshness: true,
};

/** What the configuration plug-in may be told; all of it has defaults. */
export type ConfigurationOptions = {
	/** How long word of the withdrawn keys gives the right to accept keys. */
	readonly freshnessMs?: Milliseconds;
	/** How far a read of the store may lag behind its newest value. */
	readonly storeStalenessMs?: Milliseconds;
	/** @internal */
	readonly safeguards?: Partial<Safeguards>;
};

/** @internal */
export type Rules = {
	readonly freshness: Milliseconds;
	/** From the last confirmation to the acknowledgement of a withdrawal. */
	readonly acknowledgementDelay: Milliseconds;
	readonly safeguards: Safeguards;
};

const defaultFreshness: Milliseconds = 2 * second;

/** Two hosts' clocks differ in rate by less than this. */
const clockRateError = 0.01;
const clockMargin: Milliseconds = 100;

/** @internal */
export function toRules(options: ConfigurationOptions): Rules {
	const freshness = options.freshnessMs ?? defaultFreshness;
	const staleness = options.storeStalenessMs ?? 0;
	return {
		freshness,
		acknowledgementDelay:
			(freshness + staleness) * (1 + clockRateError) + clockMargin,
		safeguards: {...allSafeguards, ...options.safeguards},
	};
}
