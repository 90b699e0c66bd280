import {z} from 'zod';
import {shareUnits} from './units.js';

/** Topic of the one kind of message that the budgets of hosts exchange. */
export const stateTopic = 'budgets/state';

const unitsSchema = z.int().min(0);
const partsSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const timeSchema = z.number();
const itemFields = {sequence: z.int().positive()};
const sliceFields = {
	...itemFields,
	/** Which of the lender's books the slice is in. */
	epoch: z.int().positive(),
	budgetId: z.string(),
	units: unitsSchema,
	parts: partsSchema,
};

const loanSchema = z.object({kind: z.literal('loan'), ...sliceFields});
const returnSchema = z.object({
	kind: z.literal('return'),
	...sliceFields,
	/** The host that the lender should lend the slice to. */
	beneficiary: z.string().optional(),
});

/** The guarantor will never take this root share over. */
const releaseSchema = z.object({
	kind: z.literal('release'),
	...itemFields,
	group: z.string(),
	entryId: z.string(),
	entryEpoch: z.int(),
});

/** A stopping host hands its root share over. */
const handoverSchema = z.object({
	kind: z.literal('handover'),
	...itemFields,
	group: z.string(),
	entryId: z.string(),
	entryEpoch: z.int(),
	from: z.int().min(0).max(shareUnits),
	to: z.int().min(0).max(shareUnits),
	/** No slot of it is in use. */
	isClean: z.boolean(),
	/** A reading of the receiver's clock, and how long after it the lease ends. */
	stamp: timeSchema,
	remaining: timeSchema,
	parts: z.array(z.object({budgetId: z.string(), parts: partsSchema})),
});

/** A message that is repeated until it is acknowledged, and applied once. */
export const itemSchema = z.discriminatedUnion('kind', [
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
	/** Whole tokens or slots that are free. */
	available: z.int().min(0),
});

const wantSchema = z.object({budgetId: z.string(), amount: z.number().min(0)});

/** All that one host tells another about budgets. */
export const stateSchema = z.object({
	/** Incarnation of the receiver. */
	to: z.string(),
	sequence: z.int().positive(),
	/** Reading of the sender's clock. */
	stamp: timeSchema,
	/** The latest stamp that came from the receiver. */
	echo: timeSchema.nullable(),
	/** Book of what the sender lends to the receiver. */
	loanEpoch: z.int().positive(),
	/** How long after `echo` the loans in that book are the receiver's. */
	loanSpan: z.number().min(0),
	/** Book of the receiver's loans that the sender has dropped. */
	droppedEpoch: z.int().min(0),
	/** Last item of the receiver that was applied. */
	applied: z.int().min(0),
	items: z.array(itemSchema),
	/** Root shares that the sender leaves alone for the promised span. */
	promises: z.array(promiseSchema),
	demands: z.array(demandSchema),
	wants: z.array(wantSchema),
	/** The receiver should return what it borrowed. */
	recall: z.boolean(),
	/** The sender is about to stop. */
	stopping: z.boolean(),
});

export type Item = z.infer<typeof itemSchema>;
export type SliceItem = Extract<Item, {kind: 'loan' | 'return'}>;
export type ReturnItem = Extract<Item, {kind: 'return'}>;
export type Handover = z.infer<typeof handoverSchema>;
export type Release = z.infer<typeof releaseSchema>;
export type EntryPromise = z.infer<typeof promiseSchema>;
export type ReportedDemand = z.infer<typeof demandSchema>;
export type Want = z.infer<typeof wantSchema>;
export type State = z.infer<typeof stateSchema>;

type Unnumbered<Kind extends Item> = Kind extends Item
	? Omit<Kind, 'sequence'>
	: never;

/** An item before it has its place in the order of a peer's items. */
export type NewItem = Unnumbered<Item>;
