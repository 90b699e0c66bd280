import {z} from 'zod';
import {ErrorKind} from '@parsleyvale/shared';
import {claimObjectSchema} from './claim-object.js';

/** Messages from the host of a request to the host that its key names. */
export const commandTopic = 'claims/question';
/** Replies to the host of the request. */
export const replyTopic = 'claims/reply';

const commandFields = {
	/** Incarnation that the key names; a restarted host has lost its claims. */
	owner: z.string(),
	name: z.string(),
	requestId: z.string(),
};

export const commandSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('claim'),
		...commandFields,
		fingerprint: z.string(),
		/** When the key was issued, by the clock of the owner. */
		issuedAt: z.number(),
	}),
	/** The request certainly did not run. */
	z.object({kind: z.literal('release'), ...commandFields}),
	z.object({
		kind: z.literal('complete'),
		...commandFields,
		ending: claimObjectSchema.shape.ending,
	}),
]);

export const replySchema = z.object({
	kind: z.enum(['claim', 'release', 'complete']),
	requestId: z.string(),
	/** Only in replies to `claim`; undefined if granted. */
	refusal: z.enum(ErrorKind).optional(),
});

export type ClaimCommand = z.infer<typeof commandSchema>;
export type ClaimReply = z.infer<typeof replySchema>;
