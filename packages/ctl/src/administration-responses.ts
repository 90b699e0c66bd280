import {ErrorKind} from '@parsleyvale/shared';
import * as z from 'zod';

const problemSchema = z.object({
	file: z.string(),
	field: z.string(),
	message: z.string(),
});

/** The body of every response whose status is not 200. */
export const errorResponseSchema = z.object({
	kind: z.enum(ErrorKind),
	message: z.string().default(''),
	version: z.int().min(0).optional(),
	problems: z.array(problemSchema).default([]),
});

/** The response to an accepted change. */
export const acceptedResponseSchema = z.object({version: z.int().min(0)});

const hostStatusSchema = z.looseObject({
	name: z.string(),
	region: z.string(),
	failureDomain: z.string(),
	live: z.boolean(),
	version: z.int().min(0),
	/** Age of the last report from the host; absent if there is none. */
	ageMs: z.number().optional(),
});

/** Unknown fields are kept and displayed unchanged. */
export const statusResponseSchema = z.looseObject({
	self: z.unknown(),
	version: z.int().min(0),
	hosts: z.array(hostStatusSchema).default([]),
	shifts: z.array(z.looseObject({})).default([]),
	drains: z.array(z.looseObject({})).default([]),
	budgets: z.array(z.looseObject({})).default([]),
});

export type ErrorResponse = z.infer<typeof errorResponseSchema>;
export type StatusResponse = z.infer<typeof statusResponseSchema>;
