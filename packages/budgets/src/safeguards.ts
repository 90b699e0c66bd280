/**
 * Rules that keep the sum of all shares within the budget. Tests disable them
 * one by one to show that the fuzzer detects the overrun.
 *
 * @internal
 */
export type Safeguards = {
	/**
	 * Holders shorten leases, promises and loans for clock drift; guarantors and
	 * lenders extend them.
	 */
	readonly applyClockMargin: boolean;
	/** Expiry of leases, promises and loans is checked on every take. */
	readonly checkOnTake: boolean;
	/** A lender debits its share when it sends a slice. */
	readonly debitBeforeCredit: boolean;
	/** A duplicate of a transfer is not credited again. */
	readonly applyOnce: boolean;
	/** A guarantor takes over only after its promise has expired. */
	readonly waitForPromise: boolean;
	/** A loan is reclaimed only after it has expired for the borrower. */
	readonly waitForLoan: boolean;
	/** A root share is used only while the guarantor's promise is valid. */
	readonly requirePromise: boolean;
	/** A share that is added starts without tokens. */
	readonly startEmpty: boolean;
	/** Slots taken over stay reserved for the longest hold. */
	readonly waitForHolds: boolean;
	/** Messages for another process of the same name are dropped. */
	readonly checkIncarnation: boolean;
	/** A root share is split only if the rest covers all units lent or in use. */
	readonly checkSplit: boolean;
	/** A write with an unknown outcome is kept until a read resolves it. */
	readonly keepUnknownWrite: boolean;
};

/** @internal */
export const allSafeguards: Safeguards = {
	applyClockMargin: true,
	checkOnTake: true,
	debitBeforeCredit: true,
	applyOnce: true,
	waitForPromise: true,
	waitForLoan: true,
	requirePromise: true,
	startEmpty: true,
	waitForHolds: true,
	checkIncarnation: true,
	checkSplit: true,
	keepUnknownWrite: true,
};
