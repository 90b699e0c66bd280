import * as z from 'zod';
import {ErrorKind} from '@parsleyvale/shared';
import {claimObjectSchema} from './claim-object.js';

/** Commands from the host of a request to the owner of its key, the host that the key names. */
export const claimCommandTopic = 'claims/question';
/** Replies to the host of the request. */
export const claimReplyTopic = 'claims/reply';

const claimCommandFields = {
	/** Incarnation of the owner, as named by the key; a restarted host has lost its claims. */
	owner: z.string(),
	name: z.string(),
	requestId: z.string(),
};

export const claimCommandSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('claim'),
		...claimCommandFields,
		fingerprint: z.string(),
		/** When the key was issued, by the clock of the owner. */
		issuedAt: z.number(),
	}),
	/** The request certainly did not run. */
	z.object({kind: z.literal('release'), ...claimCommandFields}),
	z.object({
		kind: z.literal('complete'),
		...claimCommandFields,
		ending: claimObjectSchema.shape.ending,
	}),
]);

export const claimReplySchema = z.object({
	kind: z.enum(['claim', 'release', 'complete']),
	requestId: z.string(),
	/** Only in replies to `claim`; undefined if granted. */
	refusal: z.enum(ErrorKind).optional(),
});

export type ClaimCommand = z.infer<typeof claimCommandSchema>;
export type ClaimReply = z.infer<typeof claimReplySchema>;
