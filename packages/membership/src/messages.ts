import {entryHostSchema} from '@parsleyvale/shared';
import * as z from 'zod';

/** @internal */
export const topics = {
	heartbeat: 'membership/heartbeat',
	leaving: 'membership/leaving',
	leavingAcknowledged: 'membership/leaving-noted',
} as const;

const counterSchema = z.int().min(0);
const weightSchema = z.number().positive();

/** A membership update by a host about another host or itself. */
export const updateSchema = z.strictObject({
	name: z.string(),
	incarnation: z.string(),
	/** Increased by the host itself, on changes and to refute a `dead` report. */
	counter: counterSchema,
	status: z.enum(['live', 'leaving', 'dead']),
	weight: weightSchema,
	/** The monitor that reports the host; set only for `dead`. */
	reporter: z.string().optional(),
	/** Addresses and location, in case the receiver does not know the host. */
	host: entryHostSchema.optional(),
});

export const heartbeatSchema = z.strictObject({
	counter: counterSchema,
	leaving: z.boolean(),
	/** Weight in look-up answers; 1 is the default. */
	weight: weightSchema,
	/** Requests per second. */
	load: z.number().min(0),
	host: entryHostSchema.optional(),
	updates: z.array(updateSchema),
});

export const leavingSchema = z.strictObject({});

export type Update = z.infer<typeof updateSchema>;
export type Heartbeat = z.infer<typeof heartbeatSchema>;
