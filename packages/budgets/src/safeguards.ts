/**
 * The rules that keep sums exact, one switch each. Tests switch one off to
 * show that the fuzzer sees its absence.
 *
 * @internal
 */
export type Safeguards = {
	/** Holders count leases short and grantors count them long. */
	readonly clockMargin: boolean;
	/** Rights are checked against the clock at the moment of a take. */
	readonly checkOnTake: boolean;
	/** A lender debits its share when it sends a slice. */
	readonly debitBeforeCredit: boolean;
	/** A transfer that arrives again is not credited again. */
	readonly applyOnce: boolean;
	/** A guarantor waits for the end of its promise. */
	readonly waitForPromise: boolean;
	/** A loan is taken back only when its borrower's right has ended. */
	readonly waitForLoan: boolean;
	/** A root share is used only while the guarantor's promise holds. */
	readonly needPromise: boolean;
	/** A share that was taken over starts without tokens. */
	readonly startEmpty: boolean;
	/** Slots that were taken over rest for the longest hold. */
	readonly waitForHolds: boolean;
	/** Messages for another process of the same name are dropped. */
	readonly checkIncarnation: boolean;
	/** A share is given away only when nothing lent or in use needs it. */
	readonly checkGift: boolean;
	/** A write without an answer counts as applied until a read tells. */
	readonly keepUnknownWrite: boolean;
};

/** @internal */
export const allSafeguards: Safeguards = {
	clockMargin: true,
	checkOnTake: true,
	debitBeforeCredit: true,
	applyOnce: true,
	waitForPromise: true,
	waitForLoan: true,
	needPromise: true,
	startEmpty: true,
	waitForHolds: true,
	checkIncarnation: true,
	checkGift: true,
	keepUnknownWrite: true,
};
