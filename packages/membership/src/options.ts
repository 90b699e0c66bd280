import {second, type Milliseconds} from '@parsleyvale/shared';
import type {ClientBlockTable} from '@parsleyvale/client-blocks';

/** Options of the membership plug-in. */
export type MembershipOptions = {
	/** How long callers may cache a look-up answer. */
	readonly lookUpLifetimeMs?: Milliseconds;
	/** Site numbers by subnet, to find a caller's region by its address. */
	readonly sitesBySubnet?: ClientBlockTable;
	/** Regions by the site numbers of `sitesBySubnet`. */
	readonly regionsBySite?: readonly string[];
};

/** @internal */
export const defaultLookUpLifetime: Milliseconds = 2 * second;

/** @internal */
export const heartbeatInterval: Milliseconds = 500;

/** Used in fleets with more than `allToAllLimit` hosts. */
export const ringHeartbeatInterval: Milliseconds = second;

/** In larger fleets, a monitor reports a host as dead after this much silence. */
export const reportTimeout: Milliseconds = 3.5 * second;

/** A host not heard from for this long is dead and not in look-up answers. */
export const livenessTimeout: Milliseconds = 2 * second;

/** Replaces `livenessTimeout` for a new host that was not heard from yet. */
export const firstContactTimeout: Milliseconds = 5 * second;

/** Up to this fleet size, each host sends heartbeats to all others. */
export const allToAllLimit = 32;

/** Monitors of each host in larger fleets: its successors on the ring. */
export const monitorsPerHost = 4;

/** Random hosts that receive gossip in each interval in larger fleets. */
export const gossipTargetsPerInterval = 2;

/** A host that is dead and unlisted for this long is removed. */
export const deadHostRetention: Milliseconds = 60 * second;
