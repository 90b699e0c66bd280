/**
 * Protections of the request path. Tests disable them one at a time to verify that
 * the resulting fault is detected.
 *
 * @internal
 */
export type Safeguards = {
	/** A non-idempotent request is retried only if it certainly did not run. */
	readonly repeatsOnlyWhatDidNotRun: boolean;
	/** A refusal after an attempt that may have run never reports "not run". */
	readonly remembersWhatMayHaveRun: boolean;
	/** A late end of an earlier attempt does not end the current one. */
	readonly ignoresOldAttempts: boolean;
	/** The API key of a waiting request is checked again before forwarding. */
	readonly checksKeyAgain: boolean;
	/** A retry after an attempt that may have run takes another token. */
	readonly countsRetries: boolean;
	/** The rate is charged when a request is forwarded, not when it arrives. */
	readonly renewsTokens: boolean;
	/** Arriving requests do not overtake waiting ones. */
	readonly keepsQueueOrder: boolean;
	/** A request with an Idempotency-Key is forwarded only after its claim. */
	readonly claimsFirst: boolean;
	/** A store write with an unknown result is resolved by reading it back. */
	readonly readsBack: boolean;
	/** A claim held by another request is never overridden. */
	readonly respectsClaims: boolean;
	/** A claim is released only if its request certainly did not run. */
	readonly releasesOnlyWhatDidNotRun: boolean;
	/** Only the host that a key names grants claims on it. */
	readonly asksOwner: boolean;
	/** A key is not granted once its claim may have expired. */
	readonly refusesExpiredKeys: boolean;
	/** Idempotency-Keys are scoped to the customer. */
	readonly scopesClaims: boolean;
};

export const allSafeguards: Safeguards = {
	repeatsOnlyWhatDidNotRun: true,
	remembersWhatMayHaveRun: true,
	ignoresOldAttempts: true,
	checksKeyAgain: true,
	countsRetries: true,
	renewsTokens: true,
	keepsQueueOrder: true,
	claimsFirst: true,
	readsBack: true,
	respectsClaims: true,
	releasesOnlyWhatDidNotRun: true,
	asksOwner: true,
	refusesExpiredKeys: true,
	scopesClaims: true,
};
