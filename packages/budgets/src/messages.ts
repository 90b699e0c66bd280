import * as z from 'zod';
import {totalShareUnits} from './units.js';

/**
 * Topic of the state message, the only kind that hosts exchange about budgets.
 */
export const stateTopic = 'budgets/state';

const unitsSchema = z.int().min(0);
const partsSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const timeSchema = z.number();
const queuedMessageFields = {sequence: z.int().positive()};
const sliceFields = {
	...queuedMessageFields,
	/** The lender's loan epoch to which the slice belongs. */
	epoch: z.int().positive(),
	budgetId: z.string(),
	units: unitsSchema,
	parts: partsSchema,
};

const loanSchema = z.object({kind: z.literal('loan'), ...sliceFields});
const returnSchema = z.object({
	kind: z.literal('return'),
	...sliceFields,
	/** Name of the next borrower, to which the lender should lend the slice. */
	beneficiary: z.string().optional(),
});

/** The guarantor gives up its right to take over this root share. */
const releaseSchema = z.object({
	kind: z.literal('release'),
	...queuedMessageFields,
	group: z.string(),
	entryId: z.string(),
	entryEpoch: z.int(),
});

/** Transfers a root share of a stopping host. */
const handoverSchema = z.object({
	kind: z.literal('handover'),
	...queuedMessageFields,
	group: z.string(),
	entryId: z.string(),
	entryEpoch: z.int(),
	from: z.int().min(0).max(totalShareUnits),
	to: z.int().min(0).max(totalShareUnits),
	/** Whether none of its slots is in use. */
	isClean: z.boolean(),
	/** The last reading of the receiver's clock that the sender received. */
	stamp: timeSchema,
	/** How long after `stamp` the lease is valid, in milliseconds. */
	remaining: timeSchema,
	parts: z.array(z.object({budgetId: z.string(), parts: partsSchema})),
});

/** A message that is resent until acknowledged, and applied exactly once. */
export const queuedMessageSchema = z.discriminatedUnion('kind', [
	loanSchema,
	returnSchema,
	releaseSchema,
	handoverSchema,
]);

const promiseSchema = z.object({
	group: z.string(),
	entryId: z.string(),
	entryEpoch: z.int(),
});

const demandSchema = z.object({
	budgetId: z.string(),
	perSecond: z.number().min(0),
	units: z.int(),
	/** Whole tokens or slots that can be taken. */
	available: z.int().min(0),
});

const loanRequestSchema = z.object({
	budgetId: z.string(),
	amount: z.number().min(0),
});

/** The complete budget state that one host sends to another. */
export const stateMessageSchema = z.object({
	/** Incarnation of the receiving process. */
	to: z.string(),
	sequence: z.int().positive(),
	/** Reading of the sender's clock when it sent the message, in milliseconds. */
	stamp: timeSchema,
	/** The latest `stamp` received from the receiver. */
	echo: timeSchema.nullable(),
	/** Epoch of the loans from the sender to the receiver. */
	loanEpoch: z.int().positive(),
	/** How long after `echo` the loans of that epoch are valid, in milliseconds. */
	loanSpan: z.number().min(0),
	/** Epoch of the receiver's loans that the sender has dropped. */
	droppedEpoch: z.int().min(0),
	/** Sequence number of the receiver's last queued message that was applied. */
	applied: z.int().min(0),
	/** Queued messages that the receiver has not acknowledged yet. */
	items: z.array(queuedMessageSchema),
	/** Root shares that the sender will not take over for `promiseDuration`. */
	promises: z.array(promiseSchema),
	demands: z.array(demandSchema),
	/** Loans that the sender requests from the receiver. */
	wants: z.array(loanRequestSchema),
	/** Whether the receiver should return its loans. */
	recall: z.boolean(),
	/** Whether the sender is shutting down. */
	stopping: z.boolean(),
});

export type QueuedMessage = z.infer<typeof queuedMessageSchema>;
export type SliceMessage = Extract<QueuedMessage, {kind: 'loan' | 'return'}>;
export type ReturnMessage = Extract<QueuedMessage, {kind: 'return'}>;
export type HandoverMessage = z.infer<typeof handoverSchema>;
export type ReleaseMessage = z.infer<typeof releaseSchema>;
export type GuarantorPromise = z.infer<typeof promiseSchema>;
export type DemandReport = z.infer<typeof demandSchema>;
export type LoanRequest = z.infer<typeof loanRequestSchema>;
export type StateMessage = z.infer<typeof stateMessageSchema>;

type WithoutSequence<Kind extends QueuedMessage> = Kind extends QueuedMessage
	? Omit<Kind, 'sequence'>
	: never;

/** A queued message that has no sequence number yet. */
export type UnsequencedMessage = WithoutSequence<QueuedMessage>;
