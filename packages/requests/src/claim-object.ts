import {createHash} from 'node:crypto';
import type {Claim} from '@parsleyvale/kernel';
import {z} from 'zod';

/** How a request ended that came with a claim. */
const endingSchema = z.enum(['answered', 'unknown']);

/** What the store holds of a claim; null stands for a claim given up. */
export const claimObjectSchema = z.object({
	requestId: z.string(),
	holder: z.object({name: z.string(), incarnation: z.string()}),
	fingerprint: z.string(),
	/** Missing while the request runs, and for good when its host died. */
	ending: endingSchema.optional(),
});

export type ClaimObject = z.infer<typeof claimObjectSchema>;
export type ClaimEnding = z.infer<typeof endingSchema>;

/**
 * Name of the object that stands for the key. A caller chooses the key, so that
 * only its hash is fit for a name. No customer's name holds a line break.
 */
export function toClaimName(claim: Claim, isScoped: boolean): string {
	const scope = isScoped ? claim.customer : '';
	const hash = createHash('sha256')
		.update(`${scope}\n${claim.idempotencyKey}`)
		.digest('hex');
	return `claims/${hash}`;
}
