import type {Milliseconds} from '@parsleyvale/shared';
import {
	isSameProcess,
	mergeEntry,
	mergeGifts,
	type Entry,
	type ProcessId,
	type VersionedLedger,
} from './ledger.js';
import type {LedgerWrite} from './ledger-client.js';
import type {Peer} from './peer.js';
import type {HeldEntry, RootShare} from './root-share.js';
import type {Safeguards} from './safeguards.js';
import {hardLease} from './timing.js';
import {shareUnits, toLateSpan} from './units.js';
import type {Wards} from './wards.js';

/** What a group asks of the host that it is part of. */
export type GroupNeighbours = {
	readonly self: ProcessId;
	findPeer(process: ProcessId): Peer | undefined;
	/** The peer to be guarantor; null when no peer is live. */
	chooseGuarantor(
		current: ProcessId | null,
		now: Milliseconds,
	): ProcessId | null;
	/** Live members of the group that may be given a root share. */
	listReceivers(now: Milliseconds): ProcessId[];
	/** Whether lent and used units of all budgets fit into what is kept. */
	hasRoomIn(kept: readonly HeldEntry[]): boolean;
	/** For how long slots of an earlier holder rest, at most. */
	getLongestHold(): Milliseconds;
	isMember(peerName: string): boolean;
	isStopping(): boolean;
};

/** An entry when it was first seen as it is. */
export type Seen = {
	readonly holder: ProcessId;
	readonly renewal: number;
	readonly epoch: number;
	readonly at: Milliseconds;
};

/** What a group holds, as far as a plan depends on it. */
export type PlanView = {
	readonly root: RootShare;
	readonly wards: Wards;
	/** When each entry was first seen with its renewal. */
	readonly seen: ReadonlyMap<string, Seen>;
	/** Entries that a stopping host handed to this one, not yet recorded. */
	readonly adopted: ReadonlyMap<string, Pick<Entry, 'holder' | 'epoch'>>;
	/** Entries that this host handed over. */
	readonly handedOver: ReadonlySet<string>;
	renewAt: Milliseconds;
	/** A gift waits until peers return what they borrowed. */
	isRecalling: boolean;
};

/** Decides what to write to the ledger; sends nothing. */
export class LedgerPlanner {
	readonly #view: PlanView;
	readonly #neighbours: GroupNeighbours;
	readonly #safeguards: Safeguards;

	constructor(
		view: PlanView,
		neighbours: GroupNeighbours,
		safeguards: Safeguards,
	) {
		this.#view = view;
		this.#neighbours = neighbours;
		this.#safeguards = safeguards;
	}

	/** The first ledger: all of it is this host's. */
	planCreation(now: Milliseconds): LedgerWrite {
		const entry: Entry = {
			id: `${this.#self.name}/${this.#self.incarnation}`,
			from: 0,
			to: shareUnits,
			holder: this.#self,
			guarantor: null,
			epoch: 1,
			renewal: 1,
		};
		return {expectedVersion: 0, entries: [entry], sentAt: now, mark: entry};
	}

	/** All that this host has to change, in one write; undefined: nothing. */
	planUpdate(
		ledger: VersionedLedger,
		now: Milliseconds,
	): LedgerWrite | undefined {
		const {root, renewAt} = this.#view;
		const due = this.#listDue(now);
		let isNeeded = now >= renewAt;
		let mark: Entry | undefined;
		let {entries} = ledger;
		for (const entry of ledger.entries) {
			const next = this.#planEntry(entry, due, now);
			if (next === undefined) {
				continue;
			}

			isNeeded ||=
				next.epoch !== entry.epoch || root.findEntry(entry.id) === undefined;
			entries = mergeEntry(entries, next);
			mark ??= next;
		}

		if (mark === undefined) {
			return undefined;
		}

		const given = this.#planGifts({version: ledger.version, entries}, now);
		if (!isNeeded && given === undefined) {
			return undefined;
		}

		return {
			expectedVersion: ledger.version,
			entries: given ?? entries,
			sentAt: now,
			mark: given?.find((entry) => entry.id === mark.id) ?? mark,
		};
	}

	/** Entries of others that may be taken over. */
	#listDue(now: Milliseconds): Set<string> {
		const due = new Set<string>();
		if (this.#neighbours.isStopping()) {
			return due;
		}

		for (const id of this.#view.wards.listDue(this.#neighbours.findPeer, now)) {
			due.add(id);
		}

		const span = toLateSpan(hardLease, this.#safeguards.clockMargin);
		for (const [id, seen] of this.#view.seen) {
			if (now > seen.at + span) {
				due.add(id);
			}
		}

		return due;
	}

	/** The entry renewed or taken over; undefined when it is not this host's. */
	#planEntry(
		entry: Entry,
		due: ReadonlySet<string>,
		now: Milliseconds,
	): Entry | undefined {
		const isAdopted = this.#view.adopted.has(entry.id);
		const isMine = isSameProcess(entry.holder, this.#self);
		if (this.#view.handedOver.has(entry.id)) {
			return undefined;
		}

		if (!isMine && !isAdopted && !due.has(entry.id)) {
			return undefined;
		}

		const {guarantor: current} = entry;
		const guarantor = this.#neighbours.chooseGuarantor(current, now);
		const isChanged = !isMine || !isSameProcess(guarantor, current);
		return {
			...entry,
			holder: this.#self,
			guarantor,
			epoch: entry.epoch + (isChanged ? 1 : 0),
			renewal: entry.renewal + 1,
		};
	}

	/** The entries with a part of this host's own given to those without. */
	#planGifts(ledger: VersionedLedger, now: Milliseconds): Entry[] | undefined {
		this.#view.isRecalling = false;
		const receivers = this.#neighbours
			.listReceivers(now)
			.filter(
				(process) =>
					!ledger.entries.some((entry) => isSameProcess(entry.holder, process)),
			);
		const held = this.#findWidest(now);
		const entry = ledger.entries.find((each) => each.id === held?.id);
		const isDonor =
			receivers.length > 0 &&
			!this.#neighbours.isStopping() &&
			this.#isWidest(ledger.entries);
		if (held === undefined || entry === undefined || !isDonor) {
			return undefined;
		}

		const given = mergeGifts(ledger, entry, receivers);
		const {to} = given.find((each) => each.id === held.id)!;
		const kept = this.#listSettled(now).map((each) =>
			each.id === held.id ? {...each, to} : each,
		);
		if (this.#safeguards.checkGift && !this.#neighbours.hasRoomIn(kept)) {
			this.#view.isRecalling = true;
			return undefined;
		}

		return given;
	}

	/** Held entries without slots that an earlier holder may still use. */
	#listSettled(now: Milliseconds): HeldEntry[] {
		const rest = toLateSpan(
			this.#neighbours.getLongestHold(),
			this.#safeguards.clockMargin,
		);
		return this.#view.root
			.listEntries()
			.filter(
				(held) =>
					held.takenOverAt === undefined || now > held.takenOverAt + rest,
			);
	}

	#findWidest(now: Milliseconds): HeldEntry | undefined {
		return this.#listSettled(now).sort(
			(left, right) => right.to - right.from - left.to + left.from,
		)[0];
	}

	/** Whether no other process holds more than this one. */
	#isWidest(entries: readonly Entry[]): boolean {
		const widths = new Map<string, number>();
		for (const entry of entries) {
			const key = `${entry.holder.name}/${entry.holder.incarnation}`;
			widths.set(key, (widths.get(key) ?? 0) + entry.to - entry.from);
		}

		const own = `${this.#self.name}/${this.#self.incarnation}`;
		const widest = [...widths].sort(
			(left, right) => right[1] - left[1] || left[0].localeCompare(right[0]),
		);
		return widest[0]?.[0] === own;
	}

	get #self(): ProcessId {
		return this.#neighbours.self;
	}
}
