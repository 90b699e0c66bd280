import {entryHostSchema} from '@parsleyvale/shared';
import {z} from 'zod';

/** @internal */
export const topics = {
	heartbeat: 'membership/heartbeat',
	leaving: 'membership/leaving',
	leavingNoted: 'membership/leaving-noted',
} as const;

const counterSchema = z.int().min(0);
const weightSchema = z.number().positive();

/** What one host says of another, or of itself. */
export const updateSchema = z.strictObject({
	name: z.string(),
	incarnation: z.string(),
	/** Raised by the host itself to refute word of its death. */
	counter: counterSchema,
	status: z.enum(['live', 'leaving', 'dead']),
	weight: weightSchema,
	/** Who did not hear the host any more; for `dead` only. */
	reporter: z.string().optional(),
	/** Addresses and place, for hosts that the receiver may not know. */
	host: entryHostSchema.optional(),
});

export const heartbeatSchema = z.strictObject({
	counter: counterSchema,
	leaving: z.boolean(),
	/** Share of look-ups that the host asks for; 1 is usual. */
	weight: weightSchema,
	/** Requests a second. */
	load: z.number().min(0),
	host: entryHostSchema.optional(),
	updates: z.array(updateSchema),
});

export const leavingSchema = z.strictObject({});

export type Update = z.infer<typeof updateSchema>;
export type Heartbeat = z.infer<typeof heartbeatSchema>;
