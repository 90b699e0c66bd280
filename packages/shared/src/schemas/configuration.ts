import * as z from 'zod';
import {nameSchema, portSchema} from './names.js';

const ratioSchema = z.number().min(0).max(1);
const millisecondsSchema = z.number().min(0);

/** A region and its failure domains, with one-way delays. */
export const regionSchema = z.strictObject({
	name: nameSchema,
	failureDomains: z.array(nameSchema).min(1),
	callerDelayMs: millisecondsSchema.default(0),
	failureDomainDelayMs: millisecondsSchema.default(0),
});

/**
 * The link between two regions, at most one per pair. Delay and bandwidth apply
 * to each direction.
 */
export const linkSchema = z.strictObject({
	name: nameSchema,
	between: z.tuple([nameSchema, nameSchema]),
	delayMs: millisecondsSchema,
	bytesPerSecond: z.int().positive(),
});

/** A backend server. */
export const serverSchema = z.strictObject({
	name: nameSchema,
	region: nameSchema,
	failureDomain: nameSchema,
	address: z.union([z.ipv4(), z.ipv6()]),
	port: portSchema.min(1),
	slots: z.int().positive(),
	connections: z.int().positive(),
});

/** A group of interchangeable backend servers. */
export const poolSchema = z.strictObject({
	name: nameSchema,
	servers: z.array(serverSchema).min(1),
	connectCostMs: millisecondsSchema.default(1),
	probeCostMs: millisecondsSchema.default(1),
	headroom: ratioSchema.default(0),
});

/** A tenant. Rate and burst apply to the whole fleet. */
export const customerSchema = z.strictObject({
	name: nameSchema,
	ratePerSecond: z.int().positive(),
	burst: z.int().positive(),
	weight: z.int().positive().default(1),
});

/** A caller's key; only its SHA-256 in hexadecimal is stored. */
export const keySchema = z.strictObject({
	name: nameSchema,
	customer: nameSchema,
	hash: z.string().regex(/^[\da-f]{64}$/, '64 hexadecimal digits are allowed'),
	withdrawn: z.boolean().default(false),
});

/** A path prefix and the pool that serves it. */
export const routeSchema = z.strictObject({
	name: nameSchema,
	pathPrefix: z.string().startsWith('/'),
	methods: z.array(z.string().regex(/^[A-Z]+$/)).min(1),
	pool: nameSchema,
	access: z.enum(['key', 'open']).default('key'),
	/** Whether a request that may have run can be retried. */
	idempotent: z.boolean(),
	deadlineMs: millisecondsSchema.min(1),
	/**
	 * Label of histograms. Routes of a class share it, which bounds the number of
	 * time series by tenant and class.
	 */
	class: nameSchema.default('default'),
});

/** A planned shift of part of a pool's traffic from one region to another. */
export const shiftSchema = z.strictObject({
	name: nameSchema,
	pool: nameSchema,
	from: nameSchema,
	to: nameSchema,
	share: ratioSchema,
	/** Rate and burst limit of the requests that the shift moves. */
	capPerSecond: z.int().positive(),
	capBurst: z.int().positive(),
	rampMs: millisecondsSchema.default(0),
	state: z.enum(['running', 'paused', 'stopped']).default('running'),
});

/** What a drain takes out of service. */
export const drainTargetSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('server'), name: nameSchema}),
	z.strictObject({
		kind: z.literal('failure-domain'),
		region: nameSchema,
		name: nameSchema,
	}),
	z.strictObject({kind: z.literal('region'), name: nameSchema}),
	z.strictObject({kind: z.literal('entry-host'), name: nameSchema}),
]);

/** An operation that takes a target out of service. */
export const drainSchema = z.strictObject({
	name: nameSchema,
	target: drainTargetSchema,
	state: z.enum(['running', 'stopped']).default('running'),
});

/** The complete configuration, merged from the files of a folder. */
export const configurationSchema = z.strictObject({
	regions: z.array(regionSchema).default([]),
	links: z.array(linkSchema).default([]),
	pools: z.array(poolSchema).default([]),
	customers: z.array(customerSchema).default([]),
	keys: z.array(keySchema).default([]),
	routes: z.array(routeSchema).default([]),
	shifts: z.array(shiftSchema).default([]),
	drains: z.array(drainSchema).default([]),
});

export type Region = z.infer<typeof regionSchema>;
export type Link = z.infer<typeof linkSchema>;
export type Server = z.infer<typeof serverSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Customer = z.infer<typeof customerSchema>;
export type Key = z.infer<typeof keySchema>;
export type Route = z.infer<typeof routeSchema>;
export type Shift = z.infer<typeof shiftSchema>;
export type DrainTarget = z.infer<typeof drainTargetSchema>;
export type Drain = z.infer<typeof drainSchema>;
export type Configuration = z.infer<typeof configurationSchema>;

/**
 * A configuration that the platform's store accepted. Every accepted change
 * increases `version`; `operationId` identifies the change that created it.
 */
export const versionedConfigurationSchema = z.strictObject({
	version: z.int().min(0),
	operationId: z.string(),
	configuration: configurationSchema,
});

export type VersionedConfiguration = z.infer<
	typeof versionedConfigurationSchema
>;
