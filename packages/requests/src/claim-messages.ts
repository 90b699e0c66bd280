import {z} from 'zod';
import {ErrorKind} from '@parsleyvale/shared';
import {claimObjectSchema} from './claim-object.js';

/** From the host of a request to the host that its key names. */
export const questionTopic = 'claims/question';
/** The way back. */
export const replyTopic = 'claims/reply';

const questionFields = {
	/** Incarnation asked; a later one under its name knows nothing. */
	owner: z.string(),
	name: z.string(),
	requestId: z.string(),
};

export const questionSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('claim'),
		...questionFields,
		fingerprint: z.string(),
		/** When the key was issued, on the owner's clock. */
		issuedAt: z.number(),
	}),
	/** The request surely did not run. */
	z.object({kind: z.literal('release'), ...questionFields}),
	z.object({
		kind: z.literal('complete'),
		...questionFields,
		ending: claimObjectSchema.shape.ending,
	}),
]);

export const replySchema = z.object({
	kind: z.enum(['claim', 'release', 'complete']),
	requestId: z.string(),
	/** Only for claims; missing: granted. */
	refusal: z.enum(ErrorKind).optional(),
});

export type ClaimQuestion = z.infer<typeof questionSchema>;
export type ClaimReply = z.infer<typeof replySchema>;
