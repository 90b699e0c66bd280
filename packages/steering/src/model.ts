import {minute, portSchema, type Milliseconds} from '@parsleyvale/shared';
import * as z from 'zod';

const nameSchema = z.string().min(1);
const millisecondsSchema = z.number().min(0);
/** Port of another process; sockets throw on any other number. */
export const remotePortSchema = portSchema.min(1);
/** Larger values of an entry are taken for a mistake. */
const maximumSlots = 65_535;
const maximumColdRemaining: Milliseconds = 24 * 60 * minute;

/** A service and its weight in a route's traffic. */
export const routeTargetSchema = z.object({
	service: nameSchema,
	weight: z.number().min(0),
});

/** How requests of one host name and path prefix are handled. */
export const steeringRouteSchema = z.object({
	name: nameSchema,
	/** Host name that callers request, in lower case. */
	hostName: nameSchema,
	pathPrefix: z.string().startsWith('/'),
	/** Whether a request that may have run may be retried. */
	isIdempotent: z.boolean(),
	targets: z.array(routeTargetSchema).min(1),
	/** Maximum time until the caller gets an answer. */
	timeoutMs: millisecondsSchema,
	/** Target time for answers; later ones are worth less to the caller. */
	latencyObjectiveMs: millisecondsSchema,
	/** Maximum number of servers that may run one request. */
	maximumAttempts: z.int().positive(),
	/** 0 is the highest priority. */
	priority: z.number(),
	/** Regions that may serve the route; empty: all. */
	homeRegions: z.array(nameSchema),
	isPublic: z.boolean(),
	isSticky: z.boolean(),
});

/** A group of interchangeable backend servers. */
export const serviceSchema = z.object({
	name: nameSchema,
	/** Requests per second that a server can take while it is starting up. */
	coldRatePerSecond: z.number().min(0),
	/** Connections that a server accepts from all hosts. */
	maximumConnections: z.int().positive(),
});

export const steeringCustomerSchema = z.object({
	name: nameSchema,
	/** SHA-256 of each key, in hexadecimal. */
	keyHashes: z.array(nameSchema),
	/** Overrides the route's priority; undefined: the route's applies. */
	priority: z.number().optional(),
	/** 0: no limit. */
	ratePerSecond: z.number().min(0),
	burst: z.number().min(0),
	homeRegions: z.array(nameSchema),
});

/** What a caller may send, and how long it may take. */
export const callerLimitsSchema = z.object({
	maximumHeaderBytes: z.int().positive(),
	maximumBodyBytes: z.int().positive(),
	headerTimeoutMs: millisecondsSchema,
	idleTimeoutMs: millisecondsSchema,
});

/** One version of everything that operators configure. */
export const steeringConfigurationSchema = z.object({
	version: z.int().min(0),
	routes: z.array(steeringRouteSchema),
	services: z.array(serviceSchema),
	customers: z.array(steeringCustomerSchema),
	limits: callerLimitsSchema,
});

/** A backend server's own registration. */
export const backendServerSchema = z.object({
	id: nameSchema,
	service: nameSchema,
	address: z.ipv4(),
	port: remotePortSchema,
	failureDomain: nameSchema,
	region: nameSchema,
	slots: z.int().positive().max(maximumSlots),
	isDraining: z.boolean(),
	/** Remaining startup time, in which it takes only `coldRatePerSecond`, as of when this was read. */
	coldRemainingMs: millisecondsSchema.max(maximumColdRemaining),
	/** Distinguishes restarts under the same id. */
	incarnation: z.string(),
});

/** A host and the addresses at which it is reached. */
export const steeringHostSchema = z.object({
	name: nameSchema,
	incarnation: nameSchema,
	region: nameSchema,
	failureDomain: nameSchema,
	/** Where callers connect, as address and port. */
	callers: nameSchema,
	/** Processing capacity in cores; differs between hosts of a fleet. */
	capacity: z.number().positive().default(1),
	/** Address for messages between hosts. */
	peerAddress: nameSchema,
	peerPort: remotePortSchema,
});

export type RouteTarget = z.infer<typeof routeTargetSchema>;
export type SteeringRoute = z.infer<typeof steeringRouteSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type SteeringCustomer = z.infer<typeof steeringCustomerSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type SteeringConfiguration = z.infer<typeof steeringConfigurationSchema>;
export type BackendServer = z.infer<typeof backendServerSchema>;
export type SteeringHost = z.infer<typeof steeringHostSchema>;
