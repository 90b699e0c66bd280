/**
 * Checks that mutation tests disable one at a time to verify that fuzzing
 * detects the resulting fault.
 *
 * @internal
 */
export type Safeguards = {
	/** Requests take a slot from the capacity budget of their region. */
	readonly roomBudget: boolean;
	/**
	 * Requests from other regions leave a fraction of a region's capacity free.
	 */
	readonly reservedCapacity: boolean;
	/** Drained and leaving servers receive no new requests. */
	readonly drains: boolean;
	/** Ejected servers receive no new requests. */
	readonly ejection: boolean;
	/** Shifted requests take from the budget of the shift. */
	readonly shiftBudget: boolean;
	/**
	 * Rate tokens are not returned even if nothing was sent. Returned late, they
	 * would allow a second burst on top of the tokens refilled meanwhile.
	 */
	readonly ratesStay: boolean;
	/** Repeated `end` calls for the same choice are ignored. */
	readonly endOnce: boolean;
	/** Retries take from the retry budget. */
	readonly retryBudget: boolean;
	/**
	 * This host never has more requests in flight at a server than it has slots.
	 */
	readonly serverSlots: boolean;
};

/** @internal */
export const allSafeguards: Safeguards = {
	roomBudget: true,
	reservedCapacity: true,
	drains: true,
	ejection: true,
	shiftBudget: true,
	ratesStay: true,
	endOnce: true,
	retryBudget: true,
	serverSlots: true,
};
