import {z} from 'zod';

/** A fault of the object store, set on command. */
export const objectStoreFaultsSchema = z.strictObject({
	mode: z.enum(['none', 'down', 'slow', 'lose-answers', 'stale-reads']),
	/** Further latency in mode `slow`. */
	delayMs: z.number().min(0).default(1000),
	/** How long a change of the host list takes to show. */
	listLagMs: z.number().min(0).optional(),
	/** How many calls the fault meets before it ends by itself. */
	count: z.int().positive().optional(),
});

export type ObjectStoreFaults = z.infer<typeof objectStoreFaultsSchema>;
