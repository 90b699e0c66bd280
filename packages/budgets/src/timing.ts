import {minute, second, type Milliseconds} from '@parsleyvale/shared';

/** Lease of a root share, counted from its last renewal in the store. */
export const rootLeaseDuration: Milliseconds = 15 * minute;

/** Interval at which a holder renews its root shares in the store. */
export const leaseRenewalInterval: Milliseconds = minute;

/** How long a promise of a guarantor or a loan of a lender is valid. */
export const promiseDuration: Milliseconds = second;

/** Interval at which a host sends a state message to each peer. */
export const stateMessageInterval: Milliseconds = 150;

/**
 * A peer not heard from for this long is not live; if it is the guarantor, it
 * is replaced.
 */
export const livenessTimeout: Milliseconds = 600;

/**
 * Minimum delay before the store is called again after a failure. Calls time out
 * after twice this interval.
 */
export const storeRetryInterval: Milliseconds = second;

/**
 * A write is sent only if the store answered within this time, so that few
 * writes run into an outage and end with an unknown outcome.
 */
export const maxStoreAnswerAge: Milliseconds = 3 * second;

/**
 * Interval at which an idle ledger is read, in case its watch missed a change.
 */
export const ledgerPollInterval: Milliseconds = 30 * second;

/** Minimum interval between two rounds of loan requests for the same budget. */
export const loanRequestInterval: Milliseconds = 60;

/** A loan request sent within this time counts as recent. */
export const recentLoanRequestWindow: Milliseconds = 250;

/** A budget without requests for this long has no demand on this host. */
export const demandTtl: Milliseconds = 5 * second;

/**
 * How long a stopping host waits for its loans to be returned, and then for its
 * messages to be acknowledged.
 */
export const recallTimeout: Milliseconds = 5 * second;
