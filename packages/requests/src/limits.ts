import {minute, second, type Milliseconds} from '@parsleyvale/shared';

/** How long a request waits for other hosts to lend a share of the rate. */
export const shareTimeout: Milliseconds = 250;

/** Interval at which loans for waiting requests are requested again. */
export const loanRequestInterval: Milliseconds = 100;

/** Requests of one customer that may wait for a share at the same time. */
export const maximumShareWaiters = 64;

/** Requests that may wait for capacity in one pool at the same time. */
export const maximumQueueLength = 1024;

/** Requests that may fail to be placed before a pass over a pool's queue stops. */
export const maximumSkipped = 4;

/** Attempts per request, the first included. */
export const maximumAttempts = 4;

/** How long a cancelled attempt keeps its slot when its end is not reported. */
export const cancelTimeout: Milliseconds = 10 * second;

/** Customers that have their own metric label; the others share one. */
export const maximumCustomerLabels = 100;

/** How long a request waits for its claim. */
export const claimTimeout: Milliseconds = second;

/** Interval between retries of a claim operation. */
export const claimRetryInterval: Milliseconds = 200;

/** Claims that may be unsettled at the same time. */
export const maximumUnsettledClaims = 10_000;

/** How long the object of an ended claim is kept to refuse repeats. */
export const claimRetention: Milliseconds = 24 * 60 * minute;

/** Ended claims that one host may track for removal. */
export const maximumTrackedClaims = 200_000;

/** Removals of expired claims that may be in flight at the same time. */
export const maximumRemovalsInFlight = 2;

/** Claims on its keys that one host may keep in memory at the same time. */
export const maximumLocalKeyClaims = 100_000;

/** How long after its issue a key that names a host can be claimed. */
export const hostKeyLifetime: Milliseconds = 120 * minute;
