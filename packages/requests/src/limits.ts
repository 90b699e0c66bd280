import {minute, second, type Milliseconds} from '@parsleyvale/shared';

/** How long a request waits for other hosts to lend a share of its rate. */
export const shareWait: Milliseconds = 250;

/** How often a customer's waiting requests ask the other hosts again. */
export const shareWantInterval: Milliseconds = 100;

/** Requests of one customer that wait for a lent share at once. */
export const maximumShareWaiters = 64;

/** Requests that wait for room in one pool at once. */
export const maximumQueueLength = 1024;

/** Turns without room after which the others of a pool have to wait too. */
export const maximumPassedOver = 4;

/** Attempts at backend servers that one request may make. */
export const maximumAttempts = 4;

/** How long a cancelled attempt holds its place without word of its end. */
export const cancelTimeout: Milliseconds = 10 * second;

/** Customers with metric labels of their own; the others share one. */
export const maximumCustomerLabels = 100;

/** How long a request waits for the store to grant its claim. */
export const claimTimeout: Milliseconds = second;

/** Pause between two tries to settle a claim at the store. */
export const claimRetryInterval: Milliseconds = 200;

/** Claims that are released or completed in the background at once. */
export const maximumUnsettledClaims = 10_000;

/** How long an ended claim refuses repeats before its object is removed. */
export const claimRetention: Milliseconds = 24 * 60 * minute;

/** Ended claims that one host remembers in order to remove them. */
export const maximumRetainedClaims = 200_000;

/** Old claims removed at one tick. */
export const claimRemovalsPerTick = 2;

/** Claims that one host remembers itself at once. */
export const maximumOwnedClaims = 100_000;

/** How long after its issue a key that names a host may be claimed. */
export const ownedKeyLifetime: Milliseconds = 120 * minute;
