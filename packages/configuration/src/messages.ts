import {versionedConfigurationSchema} from '@parsleyvale/shared';
import {z} from 'zod';

const hashSchema = z.string().regex(/^[\da-f]{64}$/);
const versionSchema = z.int().min(0);
const ageSchema = z.number().min(0);

/** The version that was in force on a host, `ageMs` ago. */
export const hostVersionSchema = z.strictObject({
	name: z.string(),
	version: versionSchema,
	ageMs: ageSchema,
});

/** Asks a peer for what it knows, and to vouch for the withdrawn keys. */
export const syncRequestSchema = z.strictObject({
	id: z.string(),
	version: versionSchema,
	/** Whether the peer should send its configuration if it is newer. */
	wantsConfiguration: z.boolean(),
	/** The sender is stopping: it counts in no majority. */
	leaving: z.boolean(),
	withdrawalsDigest: z.string(),
	rosterDigest: z.string(),
	versions: z.array(hostVersionSchema),
});

export const syncReplySchema = z.strictObject({
	id: z.string(),
	version: versionSchema,
	/** Whether the sender knows all that was known before it started. */
	synced: z.boolean(),
	leaving: z.boolean(),
	/** Age of the sender's word of the store; undefined: it has none. */
	storeAgeMs: ageSchema.optional(),
	/** All withdrawn keys, unless the digests were equal. */
	withdrawals: z.array(hashSchema).optional(),
	/** All names of entry hosts, unless the digests were equal. */
	roster: z.array(z.string()).optional(),
	versions: z.array(hostVersionSchema),
});

/** Which operation made a version; lets a host answer a repeated operation. */
export const operationSchema = z.strictObject({
	version: versionSchema,
	operationId: z.string(),
});

const sectionDeltaSchema = z.strictObject({
	removed: z.array(z.string()),
	set: z.array(z.looseObject({name: z.string()})),
});

/** What changed between two versions, by section and name. */
export const deltaSchema = z.strictObject({
	from: versionSchema,
	version: versionSchema,
	operationId: z.string(),
	sections: z.record(z.string(), sectionDeltaSchema),
	/** SHA-256 of the whole that results. */
	digest: z.string(),
});

export const deltaMessageSchema = z.strictObject({
	delta: deltaSchema,
	operations: z.array(operationSchema),
});

export const wholeMessageSchema = z.strictObject({
	whole: versionedConfigurationSchema,
	operations: z.array(operationSchema),
});

export const withdrawSchema = z.strictObject({
	token: z.string(),
	hashes: z.array(hashSchema),
});

export const confirmSchema = z.strictObject({token: z.string()});

/** The store's object of withdrawn keys. */
export const storedWithdrawalsSchema = z.strictObject({
	hashes: z.array(hashSchema),
});

/** @internal */
export const topics = {
	syncRequest: 'configuration/sync-request',
	syncReply: 'configuration/sync-reply',
	delta: 'configuration/delta',
	whole: 'configuration/whole',
	withdraw: 'configuration/withdraw',
	confirm: 'configuration/confirm',
} as const;

export type HostVersion = z.infer<typeof hostVersionSchema>;
export type SyncRequest = z.infer<typeof syncRequestSchema>;
export type SyncReply = z.infer<typeof syncReplySchema>;
export type SectionDelta = z.infer<typeof sectionDeltaSchema>;
export type ConfigurationDelta = z.infer<typeof deltaSchema>;
export type Operation = z.infer<typeof operationSchema>;
export type DeltaMessage = z.infer<typeof deltaMessageSchema>;
export type WholeMessage = z.infer<typeof wholeMessageSchema>;
export type Withdraw = z.infer<typeof withdrawSchema>;
export type Confirm = z.infer<typeof confirmSchema>;
