import type {Milliseconds} from '@parsleyvale/shared';

/** Parts of one whole budget; shares are whole numbers of them. */
export const shareUnits = 2 ** 16;

/**
 * Parts of one token. One share unit of a budget of one token a second
 * accrues one part in a millisecond, so that accrual stays in whole numbers.
 */
export const partsPerToken = shareUnits * 1000;

/** Largest burst whose parts are exact integers of a double. */
export const largestBurst = Math.floor(
	Number.MAX_SAFE_INTEGER / partsPerToken / 2,
);

/** Bound on the error of a host's clock rate, as a fraction. */
export const clockRateError = 1 / 256;

/** The reading that a clock shows at the least, were it too fast. */
export function toSlowClock(now: Milliseconds, margin: boolean): Milliseconds {
	return margin ? now * (1 - clockRateError) : now;
}

/** How long the grantor of a lease waits for a holder whose clock is slow. */
export function toLateSpan(span: Milliseconds, margin: boolean): Milliseconds {
	return margin ? span * (1 + 4 * clockRateError) : span;
}

/** How long a holder may rely on a right that ends on its own slow clock. */
export function toEarlySpan(span: Milliseconds, margin: boolean): Milliseconds {
	return margin ? span * (1 - 4 * clockRateError) : span;
}

/** Share units from `from` up to but not including `to`. */
export type Interval = {readonly from: number; readonly to: number};

/**
 * The slots of a count that belong to an interval. Disjoint intervals get
 * disjoint slots, and all intervals together get the total.
 *
 * @example
 * toSlots({from: 0, to: shareUnits / 2}, 5); // 3
 */
export function toSlots(interval: Interval, total: number): number {
	const before = Math.ceil((interval.from * total) / shareUnits);
	return Math.ceil((interval.to * total) / shareUnits) - before;
}
