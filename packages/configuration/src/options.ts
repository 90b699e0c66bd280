import {second, type Milliseconds} from '@parsleyvale/shared';

/**
 * Rules that uphold the guarantees of this package. Tests disable them one by
 * one to show that each is needed.
 *
 * @internal
 */
export type Safeguards = {
	/** The active version is never replaced by an older one. */
	readonly monotonicVersions: boolean;
	/** The outcome of a write without a response is resolved by operation id. */
	readonly readBack: boolean;
	/** A withdrawn key stays withdrawn, even if a later configuration restores it. */
	readonly monotonicWithdrawals: boolean;
	/** Keys are refused unless the list of withdrawn keys is recent. */
	readonly requireFreshKeys: boolean;
	/** A lease starts when the request is sent, not when the reply arrives. */
	readonly ageFromRequest: boolean;
	/** Only synced hosts, which know all acknowledged withdrawals, renew leases. */
	readonly requireSyncedPeers: boolean;
	/** A withdrawal is acknowledged only once the store holds it. */
	readonly waitForStore: boolean;
	/** A withdrawal is acknowledged only once a majority has confirmed it. */
	readonly waitForMajority: boolean;
	/** Confirmations from before the store held the withdrawal do not count. */
	readonly confirmAfterStore: boolean;
	/** A withdrawal is acknowledged only once older leases have expired. */
	readonly waitForLeaseExpiry: boolean;
};

const allSafeguards: Safeguards = {
	monotonicVersions: true,
	readBack: true,
	monotonicWithdrawals: true,
	requireFreshKeys: true,
	ageFromRequest: true,
	requireSyncedPeers: true,
	waitForStore: true,
	waitForMajority: true,
	confirmAfterStore: true,
	waitForLeaseExpiry: true,
};

/** Options of the configuration plug-in. */
export type ConfigurationOptions = {
	/** How recent the list of withdrawn keys must be to accept keys. */
	readonly freshnessMs?: Milliseconds;
	/** Maximum staleness of store reads. */
	readonly storeStalenessMs?: Milliseconds;
	/** @internal */
	readonly safeguards?: Partial<Safeguards>;
};

/** @internal */
export type ResolvedOptions = {
	readonly leaseDuration: Milliseconds;
	/** Time between the last required confirmation and the acknowledgement. */
	readonly acknowledgementDelay: Milliseconds;
	readonly safeguards: Safeguards;
};

const defaultLeaseDuration: Milliseconds = 2 * second;

/** Maximum difference between the clock rates of two hosts, as a fraction. */
const maxClockRateDifference = 0.01;

/** Added to the acknowledgement delay. */
const acknowledgementMargin: Milliseconds = 100;

/** @internal */
export function toResolvedOptions(
	options: ConfigurationOptions,
): ResolvedOptions {
	const leaseDuration = options.freshnessMs ?? defaultLeaseDuration;
	const staleness = options.storeStalenessMs ?? 0;
	return {
		leaseDuration,
		acknowledgementDelay:
			(leaseDuration + staleness) * (1 + maxClockRateDifference) +
			acknowledgementMargin,
		safeguards: {...allSafeguards, ...options.safeguards},
	};
}
