import * as z from 'zod';
import {totalShareUnits} from './units.js';

const processSchema = z.object({name: z.string(), incarnation: z.string()});

const unitSchema = z.int().min(0).max(totalShareUnits);

/**
 * The record of a root share: a range of the units of every budget of a group,
 * with the process that holds it.
 */
export const ledgerEntrySchema = z.object({
	id: z.string(),
	from: unitSchema,
	to: unitSchema,
	holder: processSchema,
	/** The only process that may take over the share before its lease ends. */
	guarantor: processSchema.nullable(),
	/** Incremented whenever the holder or the guarantor changes. */
	epoch: z.int(),
	/** Incremented whenever the holder renews its lease. */
	renewal: z.int(),
});

/** All root shares of a group of budgets. Their ranges are disjoint. */
export const ledgerSchema = z.object({entries: z.array(ledgerEntrySchema)});

export type ProcessId = z.infer<typeof processSchema>;
export type LedgerEntry = z.infer<typeof ledgerEntrySchema>;
export type Ledger = z.infer<typeof ledgerSchema>;

export type VersionedLedger = {
	readonly version: number;
	readonly entries: readonly LedgerEntry[];
};

export function isSameProcess(
	left: ProcessId | null,
	right: ProcessId | null,
): boolean {
	return left?.name === right?.name && left?.incarnation === right?.incarnation;
}

/** Returns the entries with the one of the same id replaced. */
export function replaceEntry(
	entries: readonly LedgerEntry[],
	entry: LedgerEntry,
): LedgerEntry[] {
	return entries.map((each) => (each.id === entry.id ? entry : each));
}

/** Splits an entry into equal parts for its holder and each receiver. */
export function splitEntry(
	ledger: VersionedLedger,
	entry: LedgerEntry,
	receivers: readonly ProcessId[],
): LedgerEntry[] {
	const width = Math.floor((entry.to - entry.from) / (receivers.length + 1));
	const keptEnd = entry.to - width * receivers.length;
	const newEntries = receivers.map((holder, index) => ({
		id: `${holder.name}/${holder.incarnation}@${ledger.version}`,
		from: keptEnd + width * index,
		to: keptEnd + width * (index + 1),
		holder,
		guarantor: entry.holder,
		epoch: 1,
		renewal: 0,
	}));
	return [
		...replaceEntry(ledger.entries, {...entry, to: keptEnd}),
		...newEntries,
	];
}
