import type {ErrorKind, RequestId} from '@parsleyvale/shared';
import type {Context} from '../context.js';
import {createServiceKey} from '../service-key.js';

export type Claim = {
	readonly requestId: RequestId;
	readonly customer: string;
	readonly idempotencyKey: string;
	readonly fingerprint: string;
};

/** `undefined`: the claim is this request's own and it may be sent, once. */
export type ClaimListener = (
	refusal: ErrorKind | undefined,
	context: Context,
) => void;

/** Gives each Idempotency-Key of a customer to at most one request, ever. */
export abstract class Claims {
	/** Calls the listener once, during this event or a later one. */
	abstract claim(
		claim: Claim,
		onClaimed: ClaimListener,
		context: Context,
	): void;

	/** The request surely did not run: the key may be used again. */
	abstract release(claim: Claim, context: Context): void;

	/** The request was sent and is over. */
	abstract complete(claim: Claim, context: Context): void;
}

export const claimsKey = createServiceKey<Claims>('claims');
