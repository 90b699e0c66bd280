/**
 * Protections of the request path. Tests disable them one at a time to verify that
 * the resulting fault is detected.
 *
 * @internal
 */
export type Safeguards = {
	/** A non-idempotent request is retried only if it certainly did not run. */
	readonly retryOnlyIfNotRun: boolean;
	/** A refusal after an attempt that may have run never reports "not run". */
	readonly rememberPossibleRun: boolean;
	/** The end of an earlier attempt, reported late, does not end the current one. */
	readonly ignoreOldAttempts: boolean;
	/** The API key of a waiting request is checked again before forwarding. */
	readonly recheckKey: boolean;
	/** A retry after an attempt that may have run takes another token of the rate. */
	readonly chargeRetries: boolean;
	/** The rate is charged when a request is forwarded, not when it arrives. */
	readonly renewTokens: boolean;
	/** Arriving requests do not overtake waiting ones. */
	readonly keepQueueOrder: boolean;
	/** A request with an Idempotency-Key is forwarded only after its claim. */
	readonly waitForClaim: boolean;
	/** A store write with an unknown result is resolved by reading it back. */
	readonly readBack: boolean;
	/** A claim held by another request is never overridden. */
	readonly respectClaims: boolean;
	/** A claim is released only if its request certainly did not run. */
	readonly releaseOnlyIfNotRun: boolean;
	/** Only the host that a key names grants claims on it. */
	readonly askOwner: boolean;
	/** A key is not granted once its claim may have expired. */
	readonly refuseExpiredKeys: boolean;
	/** Idempotency-Keys are scoped to the customer. */
	readonly scopeClaims: boolean;
};

export const allSafeguards: Safeguards = {
	retryOnlyIfNotRun: true,
	rememberPossibleRun: true,
	ignoreOldAttempts: true,
	recheckKey: true,
	chargeRetries: true,
	renewTokens: true,
	keepQueueOrder: true,
	waitForClaim: true,
	readBack: true,
	respectClaims: true,
	releaseOnlyIfNotRun: true,
	askOwner: true,
	refuseExpiredKeys: true,
	scopeClaims: true,
};
