import {entryHostSchema} from '@parsleyvale/shared';
import {z} from 'zod';

const versionSchema = z.int().min(0);

/** An object in an answer of the object API. */
export const objectAnswerSchema = z.object({
	name: z.string(),
	version: versionSchema,
	value: z.unknown(),
});

/** The answer to a change that was made. */
export const changeAnswerSchema = z.object({version: versionSchema});

/** The platform's list of entry hosts. */
export const hostsAnswerSchema = z.object({
	version: versionSchema,
	hosts: z.array(entryHostSchema),
});
