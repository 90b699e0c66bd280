import * as z from 'zod';
import {nameSchema, portSchema} from './names.js';

const addressSchema = z.union([z.ipv4(), z.ipv6()]);
const endpointSchema = z.strictObject({
	address: addressSchema,
	port: portSchema,
});

/** Bounds on what callers can take from an entry host. */
export const clientLimitsSchema = z.strictObject({
	/** Memory that the process may use; undefined: that of the machine. */
	memoryMb: z.int().positive().optional(),
	/** Limit on the open connections of one address to the callers' port. */
	connectionsPerAddress: z.int().positive().default(1000),
	/** A body must arrive at the minimum rate over each period of this length. */
	bodyIdleTimeoutMs: z.int().positive().default(15_000),
	minimumBytesPerSecond: z.int().nonnegative().default(16),
	/** How long a response may wait without its caller reading any of it. */
	unreadTimeoutMs: z.int().positive().default(120_000),
	/** Time and bytes for which the rest of a refused body is read. */
	drainTimeoutMs: z.int().positive().default(2000),
	drainBytes: z.int().nonnegative().default(1_048_576),
});

/** The settings file of one entry host. */
export const settingsSchema = z.strictObject({
	name: nameSchema,
	region: nameSchema,
	failureDomain: nameSchema,
	/** Endpoint for requests and look-ups of callers. */
	callers: endpointSchema,
	/** Endpoint for other entry hosts, served by gRPC. */
	peers: endpointSchema,
	/** Endpoint for operators' tools. */
	administration: endpointSchema,
	/** SHA-256 of the administration credential, in hexadecimal. */
	administrationHash: z.string().regex(/^[\da-f]{64}$/),
	/** The platform's object API. */
	store: z.strictObject({url: z.url()}),
	/** Entry hosts to contact if the platform's list is unavailable. */
	knownPeers: z
		.array(z.strictObject({name: nameSchema, peers: endpointSchema}))
		.default([]),
	lookUpLifetimeMs: z.int().positive().default(2000),
	stopTimeoutMs: z.int().positive().default(60_000),
	/** Limit on the requests of one caller's connection in progress at the same time. */
	maximumPipelinedRequests: z.int().positive().default(8),
	limits: clientLimitsSchema.prefault({}),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});

export type Endpoint = z.infer<typeof endpointSchema>;
export type ClientLimits = z.infer<typeof clientLimitsSchema>;
export type Settings = z.infer<typeof settingsSchema>;

/** An entry host as described by the platform's list and by peers. */
export const entryHostSchema = z.strictObject({
	name: nameSchema,
	/** Identifies one process; each start under the same name has another one. */
	incarnation: z.string(),
	region: nameSchema,
	failureDomain: nameSchema,
	callers: endpointSchema,
	peers: endpointSchema,
	leaving: z.boolean().default(false),
});

export type EntryHost = z.infer<typeof entryHostSchema>;
