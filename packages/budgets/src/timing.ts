import {minute, second, type Milliseconds} from '@parsleyvale/shared';

/** How long a root share outlives its last renewal at the store. */
export const hardLease: Milliseconds = 15 * minute;

/** How often a holder renews its root share at the store. */
export const renewalPeriod: Milliseconds = minute;

/** How long a promise of a peer (guarantor or lender) holds. */
export const promiseSpan: Milliseconds = second;

/** How often a host tells each peer its state. */
export const gossipPeriod: Milliseconds = 150;

/** A guarantor that is silent for this long is replaced. */
export const guarantorSilence: Milliseconds = 600;

/** Least time between two calls to the store that follow a failure. */
export const storeRetryPeriod: Milliseconds = second;

/**
 * A write is planned only on an answer of the store that is not older, so that
 * few writes run into an outage and stay unresolved.
 */
export const storeFreshness: Milliseconds = 3 * second;

/** How often an idle ledger is read, should its watch have lost a change. */
export const ledgerReadPeriod: Milliseconds = 30 * second;

/** Least time between two broadcasts that ask for one budget. */
export const wantPeriod: Milliseconds = 60;

/** How long a host tries to serve what a peer asked for. */
export const wantMemory: Milliseconds = 250;

/** A budget untouched for this long has no demand here. */
export const demandMemory: Milliseconds = 5 * second;

/** How long a stopping host waits for what it lent. */
export const recallTimeout: Milliseconds = 5 * second;
