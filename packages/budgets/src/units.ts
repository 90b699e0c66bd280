import type {Milliseconds} from '@parsleyvale/shared';

/**
 * Number of share units in a whole budget. Shares are whole numbers of units.
 */
export const totalShareUnits = 2 ** 16;

/**
 * Token parts in one token. A share unit of a budget with one token per second
 * accrues one part per millisecond, so accrual stays in integers.
 */
export const partsPerToken = totalShareUnits * 1000;

/** Largest burst whose token parts a double represents exactly. */
export const maxBurst = Math.floor(Number.MAX_SAFE_INTEGER / partsPerToken / 2);

/** Maximum drift rate of a host's clock, as a fraction. */
export const maxClockDrift = 1 / 256;

/**
 * Scales a clock reading, so that the time between two results never exceeds
 * the actual time between the readings, even if this clock runs fast.
 */
export function slowByClockDrift(
	now: Milliseconds,
	applyClockMargin: boolean,
): Milliseconds {
	return applyClockMargin ? now * (1 - maxClockDrift) : now;
}

/**
 * How long the guarantor or lender waits until a promise or loan has expired,
 * as the clock of its holder may run slow. The margin is larger than the
 * difference between two clocks, which is about 2 * `maxClockDrift`.
 */
export function extendByClockDrift(
	duration: Milliseconds,
	applyClockMargin: boolean,
): Milliseconds {
	return applyClockMargin ? duration * (1 + 4 * maxClockDrift) : duration;
}

/**
 * How long a holder may rely on a lease, promise or loan, as its own clock may
 * run slow. The margin is the same as in `extendByClockDrift`.
 */
export function shortenByClockDrift(
	duration: Milliseconds,
	applyClockMargin: boolean,
): Milliseconds {
	return applyClockMargin ? duration * (1 - 4 * maxClockDrift) : duration;
}

/** Share units from `from` (inclusive) to `to` (exclusive). */
export type UnitRange = {readonly from: number; readonly to: number};

/**
 * Counts the slots of a count budget that belong to a range. Disjoint ranges
 * get disjoint slots, and the slots of all ranges add up to the total.
 *
 * @example
 * countSlots({from: 0, to: totalShareUnits / 2}, 5); // 3
 */
export function countSlots(range: UnitRange, total: number): number {
	const slotsBefore = Math.ceil((range.from * total) / totalShareUnits);
	return Math.ceil((range.to * total) / totalShareUnits) - slotsBefore;
}
