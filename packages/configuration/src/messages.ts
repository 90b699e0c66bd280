import {versionedConfigurationSchema} from '@parsleyvale/shared';
import * as z from 'zod';

const hashSchema = z.string().regex(/^[\da-f]{64}$/);
const versionSchema = z.int().min(0);
const ageSchema = z.number().min(0);

/** The version that was active on a host `ageMs` ago. */
export const hostVersionSchema = z.strictObject({
	name: z.string(),
	version: versionSchema,
	ageMs: ageSchema,
});

/** Polls a peer for its state; the reply may renew the freshness lease. */
export const syncRequestSchema = z.strictObject({
	id: z.string(),
	version: versionSchema,
	/** Whether the peer should send its configuration if that is newer. */
	wantsConfiguration: z.boolean(),
	/** Whether the sender is stopping; if so, it counts in no majority. */
	leaving: z.boolean(),
	withdrawalsDigest: z.string(),
	rosterDigest: z.string(),
	versions: z.array(hostVersionSchema),
});

export const syncReplySchema = z.strictObject({
	id: z.string(),
	version: versionSchema,
	/** Whether the sender has caught up with what was known before its start. */
	synced: z.boolean(),
	leaving: z.boolean(),
	/** Age of the sender's latest store state; undefined if it has none. */
	storeAgeMs: ageSchema.optional(),
	/** All withdrawn keys; omitted if the digests are equal. */
	withdrawals: z.array(hashSchema).optional(),
	/** Names of all known entry hosts; omitted if the digests are equal. */
	roster: z.array(z.string()).optional(),
	versions: z.array(hostVersionSchema),
});

/** The operation that created a version; used to answer repeated operations. */
export const operationSchema = z.strictObject({
	version: versionSchema,
	operationId: z.string(),
});

const sectionDeltaSchema = z.strictObject({
	removed: z.array(z.string()),
	set: z.array(z.looseObject({name: z.string()})),
});

/** Changes between two versions, by section and name. */
export const deltaSchema = z.strictObject({
	from: versionSchema,
	version: versionSchema,
	operationId: z.string(),
	sections: z.record(z.string(), sectionDeltaSchema),
	/** SHA-256 of the resulting configuration. */
	digest: z.string(),
});

export const deltaMessageSchema = z.strictObject({
	delta: deltaSchema,
	operations: z.array(operationSchema),
});

export const snapshotMessageSchema = z.strictObject({
	whole: versionedConfigurationSchema,
	operations: z.array(operationSchema),
});

export const withdrawSchema = z.strictObject({
	token: z.string(),
	hashes: z.array(hashSchema),
});

export const confirmSchema = z.strictObject({token: z.string()});

/** The stored object that lists withdrawn keys. */
export const storedWithdrawalsSchema = z.strictObject({
	hashes: z.array(hashSchema),
});

/** @internal */
export const topics = {
	syncRequest: 'configuration/sync-request',
	syncReply: 'configuration/sync-reply',
	delta: 'configuration/delta',
	snapshot: 'configuration/whole',
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
export type SnapshotMessage = z.infer<typeof snapshotMessageSchema>;
export type WithdrawMessage = z.infer<typeof withdrawSchema>;
export type ConfirmMessage = z.infer<typeof confirmSchema>;
