import {z} from 'zod';
import {shareUnits} from './units.js';

const processSchema = z.object({name: z.string(), incarnation: z.string()});

const unitSchema = z.int().min(0).max(shareUnits);

/** A root share: a part of every budget of a group, and whose it is. */
export const entrySchema = z.object({
	id: z.string(),
	from: unitSchema,
	to: unitSchema,
	holder: processSchema,
	/** The one process that may take the share over before its lease ends. */
	guarantor: processSchema.nullable(),
	/** Rises whenever holder or guarantor change. */
	epoch: z.int(),
	/** Rises whenever the holder renews its lease. */
	renewal: z.int(),
});

/** All root shares of a group of budgets; their intervals are disjoint. */
export const ledgerSchema = z.object({entries: z.array(entrySchema)});

export type ProcessId = z.infer<typeof processSchema>;
export type Entry = z.infer<typeof entrySchema>;
export type Ledger = z.infer<typeof ledgerSchema>;

export type VersionedLedger = {
	readonly version: number;
	readonly entries: readonly Entry[];
};

export function isSameProcess(
	left: ProcessId | null,
	right: ProcessId | null,
): boolean {
	return left?.name === right?.name && left?.incarnation === right?.incarnation;
}

/** The entries with one of them replaced. */
export function mergeEntry(entries: readonly Entry[], entry: Entry): Entry[] {
	return entries.map((each) => (each.id === entry.id ? entry : each));
}

/** The entry split into one part for its holder and one for each receiver. */
export function mergeGifts(
	ledger: VersionedLedger,
	entry: Entry,
	receivers: readonly ProcessId[],
): Entry[] {
	const width = Math.floor((entry.to - entry.from) / (receivers.length + 1));
	const kept = entry.to - width * receivers.length;
	const gifts = receivers.map((holder, index) => ({
		id: `${holder.name}/${holder.incarnation}@${ledger.version}`,
		from: kept + width * index,
		to: kept + width * (index + 1),
		holder,
		guarantor: entry.holder,
		epoch: 1,
		renewal: 0,
	}));
	return [...mergeEntry(ledger.entries, {...entry, to: kept}), ...gifts];
}
