/**
 * Single protections that a test turns off, to show that it notices.
 *
 * @internal
 */
export type Safeguards = {
	/** Only a true "not run" lets a non-idempotent request be sent again. */
	readonly repeatsOnlyWhatDidNotRun: boolean;
	/** A refusal after an attempt that may have run never says "not run". */
	readonly remembersWhatMayHaveRun: boolean;
	/** The end of an earlier attempt does not end the present one. */
	readonly ignoresOldAttempts: boolean;
	/** A key is checked again when the turn of a waiting request comes. */
	readonly checksKeyAgain: boolean;
	/** A retry of what may have run takes a token of its own. */
	readonly countsRetries: boolean;
	/** A token held while a request waited counts at its sending. */
	readonly renewsTokens: boolean;
	/** Nothing arriving overtakes the requests that wait. */
	readonly keepsTurn: boolean;
	/** A request with an Idempotency-Key waits for its claim. */
	readonly claimsFirst: boolean;
	/** A lost answer of the store is resolved by reading back. */
	readonly readsBack: boolean;
	/** A claim of another request is respected, whoever made it. */
	readonly respectsClaims: boolean;
	/** Only a claim whose request surely did not run is released. */
	readonly releasesOnlyWhatDidNotRun: boolean;
	/** A key that names another host is granted by that host alone. */
	readonly asksOwner: boolean;
	/** A key that may have been forgotten is not granted again. */
	readonly refusesOldKeys: boolean;
	/** The scope of an Idempotency-Key is the customer. */
	readonly scopesClaims: boolean;
};

export const allSafeguards: Safeguards = {
	repeatsOnlyWhatDidNotRun: true,
	remembersWhatMayHaveRun: true,
	ignoresOldAttempts: true,
	checksKeyAgain: true,
	countsRetries: true,
	renewsTokens: true,
	keepsTurn: true,
	claimsFirst: true,
	readsBack: true,
	respectsClaims: true,
	releasesOnlyWhatDidNotRun: true,
	asksOwner: true,
	refusesOldKeys: true,
	scopesClaims: true,
};
