import {createHash} from 'node:crypto';
import type {Claim} from '@parsleyvale/kernel';
import type {ErrorKind} from '@parsleyvale/shared';
import * as z from 'zod';

/** Outcome of a request with a claim; the field is called `ending` in the store and in messages. */
const outcomeSchema = z.enum(['answered', 'unknown']);

/** Stored value of a claim; a released claim is stored as null. */
export const claimObjectSchema = z.object({
	requestId: z.string(),
	holder: z.object({name: z.string(), incarnation: z.string()}),
	fingerprint: z.string(),
	/** Undefined while the request runs, and permanently if its host died. */
	ending: outcomeSchema.optional(),
});

export type ClaimObject = z.infer<typeof claimObjectSchema>;
export type ClaimOutcome = z.infer<typeof outcomeSchema>;

/**
 * Name of the object for the key. Keys are chosen by callers and are therefore
 * hashed. The separator is unambiguous: no customer name contains a line break.
 */
export function toClaimObjectName(claim: Claim, isScoped: boolean): string {
	const scope = isScoped ? claim.customer : '';
	const hash = createHash('sha256')
		.update(`${scope}\n${claim.idempotencyKey}`)
		.digest('hex');
	return `claims/${hash}`;
}

/** Outcome to record for a request that may have run. */
export function toClaimOutcome(kind: ErrorKind | undefined): ClaimOutcome {
	return kind === undefined ? 'answered' : 'unknown';
}
