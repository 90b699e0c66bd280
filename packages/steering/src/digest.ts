import {z} from 'zod';

const amountSchema = z.number();

/**
 * What a host tells the others of itself. Each one replaces those before it,
 * so that a lost one needs no repeat.
 */
export const digestSchema = z.object({
	name: z.string(),
	incarnation: z.string(),
	/** Rises with each digest of an incarnation. */
	sequence: z.int(),
	region: z.string(),
	failureDomain: z.string(),
	callers: z.string(),
	/** What its processor can do, in cores. */
	capacity: z.number().positive(),
	address: z.string(),
	port: z.int(),
	/** Whether callers may be sent to the host. */
	isReady: z.boolean(),
	/** Requests that callers send to it. */
	requestsPerSecond: z.number(),
	configurationVersion: z.int(),
	/** How long ago the version was known to be the newest; null: never. */
	configurationAgeMs: z.number().nullable(),
	/** Whether the host follows the store itself. */
	isReading: z.boolean(),
	/** Whether the host's last call to the store failed. */
	isStoreLost: z.boolean(),
	/** How long ago the store came back, as far as the host knows; null: it was not away of late. */
	storeRegainedAgoMs: z.number().nullable(),
	/** Revision of the store that the host's list of servers shows. */
	fleetRevision: z.int(),
	/** Revision that its evacuated failure domains show. */
	evacuationsRevision: z.int(),
	// Left out for hosts that have hardly any requests, and by those:
	/** Requests that run at each backend server for the host. */
	inFlight: z.record(z.string(), amountSchema).optional(),
	/** Servers and hashes of the objects that they handled for the host of late. */
	handled: z.array(z.tuple([z.string(), z.int()])).optional(),
	/** Servers, hashes of objects that are new to them, and when the work on these should end. */
	firstWork: z.array(z.tuple([z.string(), z.int(), z.number()])).optional(),
	/** For each customer, its requests a second here and those admitted in all. */
	customers: z
		.record(z.string(), z.tuple([amountSchema, amountSchema]))
		.optional(),
});

export type Digest = z.infer<typeof digestSchema>;
