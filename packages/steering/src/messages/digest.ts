import * as z from 'zod';
import {remotePortSchema} from '../model.js';
import {storePositionSchema} from '../store-position.js';

const amountSchema = z.number();
const countsSchema = z.tuple([amountSchema, amountSchema]);

/**
 * A host's state as sent to the other hosts. Each digest replaces the ones before
 * it, so that a lost one need not be sent again.
 */
export const digestSchema = z.object({
	name: z.string(),
	incarnation: z.string(),
	/** Increases with each digest of an incarnation. */
	sequence: z.int(),
	region: z.string(),
	failureDomain: z.string(),
	callers: z.string(),
	/** Processing capacity in cores. */
	capacity: z.number().positive(),
	address: z.string(),
	port: remotePortSchema,
	/** Whether callers may be directed to the host. */
	isReady: z.boolean(),
	/** Rate of requests that callers send to the host. */
	requestsPerSecond: z.number(),
	configurationVersion: z.int(),
	/** Time since the version was last confirmed to be the newest; null: never. */
	configurationAgeMs: z.number().nullable(),
	/** Whether the host reads from the store itself. */
	isReading: z.boolean(),
	/** Whether the host's last call to the store failed. */
	isStoreLost: z.boolean(),
	/** Time since the end of the last store outage; null: no recent outage. */
	storeRegainedAgoMs: z.number().nullable(),
	/** Position of the host's list of servers. */
	fleetPosition: storePositionSchema,
	/** Position of its evacuated failure domains. */
	evacuationsPosition: storePositionSchema,
	// Omitted in digests to and from idle hosts:
	/** The host's requests in flight at each backend server. */
	inFlight: z.record(z.string(), amountSchema).optional(),
	/** Objects recently handled for the host: the server and the hash of the object. */
	handled: z.array(z.tuple([z.string(), z.int()])).optional(),
	/** Uncached objects in flight: the server, the hash of the object, and the time in milliseconds until the request should end. */
	firstWork: z.array(z.tuple([z.string(), z.int(), z.number()])).optional(),
	/** For each customer, its requests per second at the host and the number admitted there. */
	customers: z.record(z.string(), countsSchema).optional(),
	/** For each backend server with a rate limit, the requests per second at the host that are meant for it and the number sent. */
	servers: z.record(z.string(), countsSchema).optional(),
	/** The rate limits that responses of backend servers have lately stated (null: no longer any), and the time since then in milliseconds. */
	rateLimits: z
		.record(z.string(), z.tuple([amountSchema.nullable(), amountSchema]))
		.optional(),
	/** Requests that were at a server when it crashed: the request's identity, the hash of the server, and the time since then in milliseconds. */
	crashes: z.array(z.tuple([z.string(), z.int(), amountSchema])).optional(),
	/** Requests reported in `crashes` that a server answered, and the time since then in milliseconds. */
	answeredSuspects: z.array(z.tuple([z.string(), amountSchema])).optional(),
	/** Whether `customers` and `servers` contain only those whose number has changed since the last digest. */
	areCountsPartial: z.boolean().optional(),
});

export type Digest = z.infer<typeof digestSchema>;
