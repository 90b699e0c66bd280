import {entryHostSchema} from '@parsleyvale/shared';
import * as z from 'zod';

const versionSchema = z.int().min(0);

/** An object in a response of the object API. */
export const objectResponseSchema = z.object({
	name: z.string(),
	version: versionSchema,
	value: z.unknown(),
});

/** The response to a successful write or delete. */
export const changeResponseSchema = z.object({version: versionSchema});

/** The platform's list of entry hosts. */
export const hostListResponseSchema = z.object({
	version: versionSchema,
	hosts: z.array(entryHostSchema),
});
