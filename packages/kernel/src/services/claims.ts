import type {ErrorKind, RequestId} from '@parsleyvale/shared';
import type {Context} from '../context.js';
import {createServiceKey} from '../service-key.js';

/** A request with the Idempotency-Key that it claims. */
export type Claim = {
	readonly requestId: RequestId;
	readonly customer: string;
	readonly idempotencyKey: string;
	readonly fingerprint: string;
};

/** Receives no refusal if the claim succeeded; the request may be sent once. */
export type ClaimListener = (
	refusal: ErrorKind | undefined,
	context: Context,
) => void;

/** Permanently assigns each Idempotency-Key of a customer to one request. */
export abstract class Claims {
	/** Calls the listener once, during the current event or a later one. */
	abstract claim(
		claim: Claim,
		onClaimed: ClaimListener,
		context: Context,
	): void;

	/** Frees the key of a request that certainly did not run. */
	abstract release(claim: Claim, context: Context): void;

	/** Records that the request was sent and has ended. */
	abstract complete(claim: Claim, context: Context): void;
}

export const claimsKey = createServiceKey<Claims>('claims');
