/**
 * Protections that a test turns off, one at a time, to see the fuzzing fail.
 *
 * @internal
 */
export type Safeguards = {
	/** A request takes from the room budget of its region. */
	readonly roomBudget: boolean;
	/** Requests from elsewhere leave a part of a region's room free. */
	readonly reserve: boolean;
	/** Drained and leaving servers receive nothing new. */
	readonly drains: boolean;
	/** Ejected servers receive nothing new. */
	readonly ejection: boolean;
	/** A moved request takes from the budget of its shift. */
	readonly shiftBudget: boolean;
	/**
	 * A rate stays taken although nothing was sent: given back late, it would
	 * allow a second burst beside the one that has refilled since.
	 */
	readonly ratesStay: boolean;
	/** A second end of the same choice is ignored. */
	readonly endOnce: boolean;
	/** Retries take from the retry budget. */
	readonly retryBudget: boolean;
	/** This host never has more in flight at a server than its slots. */
	readonly serverSlots: boolean;
};

/** @internal */
export const allSafeguards: Safeguards = {
	roomBudget: true,
	reserve: true,
	drains: true,
	ejection: true,
	shiftBudget: true,
	ratesStay: true,
	endOnce: true,
	retryBudget: true,
	serverSlots: true,
};
