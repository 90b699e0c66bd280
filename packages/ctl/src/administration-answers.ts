import {ErrorKind} from '@parsleyvale/shared';
import {z} from 'zod';

const problemSchema = z.object({
	file: z.string(),
	field: z.string(),
	message: z.string(),
});

/** The body of every answer that is not 200. */
export const errorAnswerSchema = z.object({
	kind: z.enum(ErrorKind),
	message: z.string().default(''),
	version: z.int().min(0).optional(),
	problems: z.array(problemSchema).default([]),
});

/** The answer to an accepted change. */
export const acceptedSchema = z.object({version: z.int().min(0)});

const hostStatusSchema = z.looseObject({
	name: z.string(),
	region: z.string(),
	failureDomain: z.string(),
	live: z.boolean(),
	version: z.int().min(0),
	/** Missing while there is no news of the host. */
	ageMs: z.number().optional(),
});

/** Fields beyond the named ones are shown as they come. */
export const statusAnswerSchema = z.looseObject({
	self: z.unknown(),
	version: z.int().min(0),
	hosts: z.array(hostStatusSchema).default([]),
	shifts: z.array(z.looseObject({})).default([]),
	drains: z.array(z.looseObject({})).default([]),
	budgets: z.array(z.looseObject({})).default([]),
});

export type ErrorAnswer = z.infer<typeof errorAnswerSchema>;
export type StatusAnswer = z.infer<typeof statusAnswerSchema>;
