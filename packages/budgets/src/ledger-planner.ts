import type {Milliseconds} from '@parsleyvale/shared';
import {
	isSameProcess,
	replaceEntry,
	splitEntry,
	type LedgerEntry,
	type ProcessId,
	type VersionedLedger,
} from './ledger.js';
import type {LedgerWrite} from './ledger-client.js';
import type {Peer} from './peer.js';
import type {HeldEntry, RootShares} from './root-shares.js';
import type {Safeguards} from './safeguards.js';
import {rootLeaseDuration} from './timing.js';
import {totalShareUnits, extendByClockDrift} from './units.js';
import type {GuaranteedEntries} from './guaranteed-entries.js';

/** What a group needs to know about its host and peers. */
export type GroupEnvironment = {
	readonly self: ProcessId;
	findPeer(process: ProcessId): Peer | undefined;
	/** Chooses a peer as guarantor; null if no peer is live. */
	chooseGuarantor(
		current: ProcessId | null,
		now: Milliseconds,
	): ProcessId | null;
	/** Lists live members of the group that may receive a root share. */
	listReceivers(now: Milliseconds): ProcessId[];
	/**
	 * Whether the units of all budgets lent or in use fit into the remaining
	 * entries.
	 */
	fitsWithin(remaining: readonly HeldEntry[]): boolean;
	/** Returns the longest time for which a previous holder may use a slot. */
	getLongestHold(): Milliseconds;
	isMember(peerName: string): boolean;
	isStopping(): boolean;
};

/** An entry with the time when its current version was first observed. */
export type ObservedEntry = {
	readonly holder: ProcessId;
	readonly renewal: number;
	readonly epoch: number;
	readonly observedAt: Milliseconds;
};

/** State of a group on which plans depend. */
export type PlannerState = {
	readonly rootShares: RootShares;
	readonly guaranteedEntries: GuaranteedEntries;
	/** When each entry was first observed with its current renewal. */
	readonly observed: ReadonlyMap<string, ObservedEntry>;
	/**
	 * Entries handed over by a stopping host and not yet written to the ledger.
	 */
	readonly receivedHandovers: ReadonlyMap<
		string,
		Pick<LedgerEntry, 'holder' | 'epoch'>
	>;
	/** Ids of entries that this host handed over. */
	readonly handedOverIds: ReadonlySet<string>;
	renewAt: Milliseconds;
	/** Whether a split of a root share waits until peers return their loans. */
	isSplitPending: boolean;
};

/** Decides what to write to the ledger, without sending it. */
export class LedgerPlanner {
	readonly #state: PlannerState;
	readonly #environment: GroupEnvironment;
	readonly #safeguards: Safeguards;

	constructor(
		state: PlannerState,
		environment: GroupEnvironment,
		safeguards: Safeguards,
	) {
		this.#state = state;
		this.#environment = environment;
		this.#safeguards = safeguards;
	}

	/** Plans the first ledger, in which this host holds everything. */
	planCreation(now: Milliseconds): LedgerWrite {
		const entry: LedgerEntry = {
			id: `${this.#self.name}/${this.#self.incarnation}`,
			from: 0,
			to: totalShareUnits,
			holder: this.#self,
			guarantor: null,
			epoch: 1,
			renewal: 1,
		};
		return {
			expectedVersion: 0,
			entries: [entry],
			sentAt: now,
			confirmationEntry: entry,
		};
	}

	/**
	 * Plans all pending changes of this host in one write; undefined if there are
	 * none.
	 */
	planUpdate(
		ledger: VersionedLedger,
		now: Milliseconds,
	): LedgerWrite | undefined {
		const {rootShares, renewAt} = this.#state;
		const takeoverIds = this.#listTakeoverIds(now);
		let isNeeded = now >= renewAt;
		let confirmationEntry: LedgerEntry | undefined;
		let {entries} = ledger;
		for (const entry of ledger.entries) {
			const updated = this.#planEntry(entry, takeoverIds, now);
			if (updated === undefined) {
				continue;
			}

			isNeeded ||=
				updated.epoch !== entry.epoch ||
				rootShares.findEntry(entry.id) === undefined;
			entries = replaceEntry(entries, updated);
			confirmationEntry ??= updated;
		}

		if (confirmationEntry === undefined) {
			return undefined;
		}

		const split = this.#planSplit({version: ledger.version, entries}, now);
		if (!isNeeded && split === undefined) {
			return undefined;
		}

		return {
			expectedVersion: ledger.version,
			entries: split ?? entries,
			sentAt: now,
			confirmationEntry:
				split?.find((entry) => entry.id === confirmationEntry.id) ??
				confirmationEntry,
		};
	}

	/** Lists entries of other hosts that may be taken over. */
	#listTakeoverIds(now: Milliseconds): Set<string> {
		const takeoverIds = new Set<string>();
		if (this.#environment.isStopping()) {
			return takeoverIds;
		}

		for (const id of this.#state.guaranteedEntries.listTakeoverCandidates(
			this.#environment.findPeer,
			now,
		)) {
			takeoverIds.add(id);
		}

		const leaseDuration = extendByClockDrift(
			rootLeaseDuration,
			this.#safeguards.applyClockMargin,
		);
		for (const [id, observed] of this.#state.observed) {
			if (now > observed.observedAt + leaseDuration) {
				takeoverIds.add(id);
			}
		}

		return takeoverIds;
	}

	/**
	 * Renews or takes over an entry; undefined if this host has no right to it.
	 */
	#planEntry(
		entry: LedgerEntry,
		takeoverIds: ReadonlySet<string>,
		now: Milliseconds,
	): LedgerEntry | undefined {
		const isReceived = this.#state.receivedHandovers.has(entry.id);
		const isOwn = isSameProcess(entry.holder, this.#self);
		if (this.#state.handedOverIds.has(entry.id)) {
			return undefined;
		}

		if (!isOwn && !isReceived && !takeoverIds.has(entry.id)) {
			return undefined;
		}

		const {guarantor: current} = entry;
		const guarantor = this.#environment.chooseGuarantor(current, now);
		const isChanged = !isOwn || !isSameProcess(guarantor, current);
		return {
			...entry,
			holder: this.#self,
			guarantor,
			epoch: entry.epoch + (isChanged ? 1 : 0),
			renewal: entry.renewal + 1,
		};
	}

	/** Splits the widest entry of this host among receivers that hold none. */
	#planSplit(
		ledger: VersionedLedger,
		now: Milliseconds,
	): LedgerEntry[] | undefined {
		this.#state.isSplitPending = false;
		const receivers = this.#environment
			.listReceivers(now)
			.filter(
				(process) =>
					!ledger.entries.some((entry) => isSameProcess(entry.holder, process)),
			);
		const held = this.#findWidestEntry(now);
		const entry = ledger.entries.find((each) => each.id === held?.id);
		const canSplit =
			receivers.length > 0 &&
			!this.#environment.isStopping() &&
			this.#isLargestHolder(ledger.entries);
		if (held === undefined || entry === undefined || !canSplit) {
			return undefined;
		}

		const split = splitEntry(ledger, entry, receivers);
		const {to} = split.find((each) => each.id === held.id)!;
		const remaining = this.#listUnreservedEntries(now).map((each) =>
			each.id === held.id ? {...each, to} : each,
		);
		if (
			this.#safeguards.checkSplit &&
			!this.#environment.fitsWithin(remaining)
		) {
			this.#state.isSplitPending = true;
			return undefined;
		}

		return split;
	}

	/**
	 * Lists held entries whose slots can no longer be in use by a previous
	 * holder.
	 */
	#listUnreservedEntries(now: Milliseconds): HeldEntry[] {
		const reservedDuration = extendByClockDrift(
			this.#environment.getLongestHold(),
			this.#safeguards.applyClockMargin,
		);
		return this.#state.rootShares
			.listEntries()
			.filter(
				(held) =>
					held.takenOverAt === undefined ||
					now > held.takenOverAt + reservedDuration,
			);
	}

	#findWidestEntry(now: Milliseconds): HeldEntry | undefined {
		return this.#listUnreservedEntries(now).sort(
			(left, right) => right.to - right.from - left.to + left.from,
		)[0];
	}

	/** Whether no other process holds more units; ties are broken by name. */
	#isLargestHolder(entries: readonly LedgerEntry[]): boolean {
		const widthByHolder = new Map<string, number>();
		for (const entry of entries) {
			const key = `${entry.holder.name}/${entry.holder.incarnation}`;
			widthByHolder.set(
				key,
				(widthByHolder.get(key) ?? 0) + entry.to - entry.from,
			);
		}

		const ownKey = `${this.#self.name}/${this.#self.incarnation}`;
		const ranked = [...widthByHolder].sort(
			(left, right) => right[1] - left[1] || left[0].localeCompare(right[0]),
		);
		return ranked[0]?.[0] === ownKey;
	}

	get #self(): ProcessId {
		return this.#environment.self;
	}
}
