/**
 * Checks that mutation tests disable one at a time to verify that fuzzing
 * detects the resulting fault.
 *
 * @internal
 */
export type Safeguards = {
	/** Requests take a slot from the capacity budget of their region. */
	readonly takeCapacity: boolean;
	/**
	 * Requests from other regions leave a fraction of a region's capacity free.
	 */
	readonly reserveCapacity: boolean;
	/** Drained and leaving servers receive no new requests. */
	readonly excludeDrained: boolean;
	/** Ejected servers receive no new requests. */
	readonly excludeEjected: boolean;
	/** Shifted requests take from the budget of the shift. */
	readonly takeShiftBudget: boolean;
	/**
	 * Rate tokens are not returned even if nothing was sent. Returned late, they
	 * would allow a second burst on top of the tokens refilled in the meantime.
	 */
	readonly keepRateTokens: boolean;
	/** Repeated `endAttempt` calls for the same choice are ignored. */
	readonly endOnce: boolean;
	/** Retries take from the retry budget. */
	readonly limitRetries: boolean;
	/**
	 * This host never has more requests in flight at a server than it has slots.
	 */
	readonly limitInFlight: boolean;
};

/** @internal */
export const allSafeguards: Safeguards = {
	takeCapacity: true,
	reserveCapacity: true,
	excludeDrained: true,
	excludeEjected: true,
	takeShiftBudget: true,
	keepRateTokens: true,
	endOnce: true,
	limitRetries: true,
	limitInFlight: true,
};
