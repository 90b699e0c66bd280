import {z} from 'zod';
import {nameSchema, portSchema} from './names.js';

const addressSchema = z.union([z.ipv4(), z.ipv6()]);
const endpointSchema = z.strictObject({
	address: addressSchema,
	port: portSchema,
});

/** The settings file of one entry host. */
export const settingsSchema = z.strictObject({
	name: nameSchema,
	region: nameSchema,
	failureDomain: nameSchema,
	/** Where callers send requests and look-ups. */
	callers: endpointSchema,
	/** Where other entry hosts reach this one, by gRPC. */
	peers: endpointSchema,
	/** Where operators' tools reach this one. */
	administration: endpointSchema,
	/** SHA-256 of the administration credential, in hexadecimal. */
	administrationHash: z.string().regex(/^[\da-f]{64}$/),
	/** The platform's object API. */
	store: z.strictObject({url: z.url()}),
	/** Other entry hosts to ask when the platform's list cannot be had. */
	knownPeers: z
		.array(z.strictObject({name: nameSchema, peers: endpointSchema}))
		.default([]),
	lookUpLifetimeMs: z.int().positive().default(2000),
	stopTimeoutMs: z.int().positive().default(60_000),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});

export type Endpoint = z.infer<typeof endpointSchema>;
export type Settings = z.infer<typeof settingsSchema>;

/** What the platform's list, and peers, tell of one entry host. */
export const entryHostSchema = z.strictObject({
	name: nameSchema,
	/** Differs for each start of a process under the same name. */
	incarnation: z.string(),
	region: nameSchema,
	failureDomain: nameSchema,
	callers: endpointSchema,
	peers: endpointSchema,
	leaving: z.boolean().default(false),
});

export type EntryHost = z.infer<typeof entryHostSchema>;
