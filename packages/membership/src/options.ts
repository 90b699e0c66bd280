import {second, type Milliseconds} from '@parsleyvale/shared';
import type {ClientBlockTable} from '@parsleyvale/client-blocks';

/** What the membership plug-in may be told; all of it has defaults. */
export type MembershipOptions = {
	/** How long callers keep a look-up answer. */
	readonly lookUpLifetimeMs?: Milliseconds;
	/** Sites of client blocks, to tell a caller's region by its address. */
	readonly clientBlocks?: ClientBlockTable;
	/** The region of each site number of the table. */
	readonly siteRegions?: readonly string[];
};

/** @internal */
export const defaultLookUpLifetime: Milliseconds = 2 * second;

/** @internal */
export const heartbeatInterval: Milliseconds = 500;

/** In a fleet where only monitors are told. */
export const ringHeartbeatInterval: Milliseconds = second;

/** A monitor reports a host that it has not heard for so long. */
export const reportAfter: Milliseconds = 3.5 * second;

/** A host not heard for so long is left out of look-up answers. */
export const deadAfter: Milliseconds = 2 * second;

/** A host that the list names and that was never heard is given this long. */
export const firstContactGrace: Milliseconds = 5 * second;

/** Up to here every host sends heartbeats to every other. */
export const allToAllLimit = 32;

/** Above it, each host is watched by so many, its successors on a ring. */
export const monitorsPerHost = 4;

/** Above it, so many random hosts are told of changes in each interval. */
export const gossipPerInterval = 2;

/** Dead and unlisted for so long, a host is forgotten. */
export const forgetAfter: Milliseconds = 60 * second;
