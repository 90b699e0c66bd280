import {z} from 'zod';

const nameSchema = z.string().min(1);
const millisecondsSchema = z.number().min(0);

/** A part of a route's traffic and the service that serves it. */
export const routeTargetSchema = z.object({
	service: nameSchema,
	weight: z.number().min(0),
});

/** Requests of one host name and path prefix, and how they are handled. */
export const steeringRouteSchema = z.object({
	name: nameSchema,
	/** Host name that callers ask for, in lower case. */
	hostName: nameSchema,
	pathPrefix: z.string().startsWith('/'),
	/** Whether a request that may have run may be sent again. */
	isIdempotent: z.boolean(),
	targets: z.array(routeTargetSchema).min(1),
	/** Longest time for which the caller is kept waiting. */
	timeoutMs: millisecondsSchema,
	/** An answer within this time is worth most to the caller. */
	latencyObjectiveMs: millisecondsSchema,
	/** Most servers that one request of a caller goes to. */
	maximumAttempts: z.int().positive(),
	/** 0 is the most urgent. */
	priority: z.number(),
	/** Regions that may serve the route; empty: all. */
	homeRegions: z.array(nameSchema),
	isPublic: z.boolean(),
	isSticky: z.boolean(),
});

/** A group of backend servers that can stand in for one another. */
export const serviceSchema = z.object({
	name: nameSchema,
	/** Requests a second that a cold server bears. */
	coldRatePerSecond: z.number().min(0),
	/** Connections that a server accepts from all hosts. */
	maximumConnections: z.int().positive(),
});

export const steeringCustomerSchema = z.object({
	name: nameSchema,
	/** SHA-256 of each key, in hexadecimal. */
	keyHashes: z.array(nameSchema),
	/** Takes precedence over the route's; undefined: the route's holds. */
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

/** All that operators set, as one version. */
export const steeringConfigurationSchema = z.object({
	version: z.int().min(0),
	routes: z.array(steeringRouteSchema),
	services: z.array(serviceSchema),
	customers: z.array(steeringCustomerSchema),
	limits: callerLimitsSchema,
});

/** A backend server as it registered itself. */
export const backendServerSchema = z.object({
	id: nameSchema,
	service: nameSchema,
	address: nameSchema,
	port: z.int().positive(),
	failureDomain: nameSchema,
	region: nameSchema,
	slots: z.int().positive(),
	isDraining: z.boolean(),
	/** How much longer it bears only the cold rate, when this was read. */
	coldRemainingMs: millisecondsSchema,
	/** Tells two starts under the same id apart. */
	incarnation: z.string(),
});

/** Where other hosts reach this one. */
export const steeringHostSchema = z.object({
	name: nameSchema,
	incarnation: nameSchema,
	region: nameSchema,
	failureDomain: nameSchema,
	/** Where callers connect, as address and port. */
	callers: nameSchema,
	/** What its processor can do, in cores; hosts of a fleet differ. */
	capacity: z.number().positive().default(1),
	/** Address of the messages between hosts. */
	peerAddress: nameSchema,
	peerPort: z.int().positive(),
});

export type RouteTarget = z.infer<typeof routeTargetSchema>;
export type SteeringRoute = z.infer<typeof steeringRouteSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type SteeringCustomer = z.infer<typeof steeringCustomerSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type SteeringConfiguration = z.infer<typeof steeringConfigurationSchema>;
export type BackendServer = z.infer<typeof backendServerSchema>;
export type SteeringHost = z.infer<typeof steeringHostSchema>;
