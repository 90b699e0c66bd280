import type {Context} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {isSameProcess, type LedgerEntry, type ProcessId} from './ledger.js';
import {LedgerClient, type LedgerWrite} from './ledger-client.js';
import {
	LedgerPlanner,
	type GroupEnvironment,
	type PlannerState,
	type ObservedEntry,
} from './ledger-planner.js';
import type {
	GuarantorPromise,
	HandoverMessage,
	ReleaseMessage,
} from './messages.js';
import type {Peer} from './peer.js';
import {RootShares, type HeldEntry} from './root-shares.js';
import type {Safeguards} from './safeguards.js';
import {
	rootLeaseDuration,
	promiseDuration,
	leaseRenewalInterval,
} from './timing.js';
import {
	totalShareUnits,
	shortenByClockDrift,
	extendByClockDrift,
} from './units.js';
import {GuaranteedEntries} from './guaranteed-entries.js';

/**
 * A group of budgets that share one ledger. Manages its root shares, their leases
 * and their promises.
 */
export class BudgetGroup {
	readonly rootShares: RootShares;
	readonly ledgerClient: LedgerClient;
	readonly guaranteedEntries: GuaranteedEntries;
	readonly #safeguards: Safeguards;
	readonly #environment: GroupEnvironment;
	readonly #observed = new Map<string, ObservedEntry>();
	/**
	 * Entries handed over by a stopping host and not yet written to the ledger.
	 */
	readonly #receivedHandovers = new Map<
		string,
		Pick<LedgerEntry, 'holder' | 'epoch'>
	>();

	/** Ids of entries that this host handed over. */
	readonly #handedOverIds = new Set<string>();
	/** Expiry of promises before the write in flight, which may change it. */
	readonly #promiseExpiriesBeforeWrite = new Map<string, Milliseconds>();
	readonly #planner: LedgerPlanner;
	readonly #plannerState: PlannerState;
	readonly #renewalJitter: number;

	constructor(
		readonly name: string,
		safeguards: Safeguards,
		environment: GroupEnvironment,
		random: () => number,
	) {
		this.#safeguards = safeguards;
		this.#environment = environment;
		this.rootShares = new RootShares(safeguards);
		this.guaranteedEntries = new GuaranteedEntries(name, safeguards);
		this.#plannerState = {
			rootShares: this.rootShares,
			guaranteedEntries: this.guaranteedEntries,
			observed: this.#observed,
			receivedHandovers: this.#receivedHandovers,
			handedOverIds: this.#handedOverIds,
			renewAt: Number.NEGATIVE_INFINITY,
			isSplitPending: false,
		};
		this.#planner = new LedgerPlanner(
			this.#plannerState,
			environment,
			safeguards,
		);
		this.#renewalJitter = random();
		this.ledgerClient = new LedgerClient(
			`budgets/${name}`,
			safeguards,
			(write, isApplied, context) => {
				this.#onWriteEnded(write, isApplied, context.now);
			},
		);
	}

	/** Whether a split of a root share waits until peers return their loans. */
	get isSplitPending(): boolean {
		return this.#plannerState.isSplitPending;
	}

	/** Entries that this host holds according to the write in flight. */
	get claimedIds(): ReadonlySet<string> {
		const claimedIds = new Set<string>();
		for (const entry of this.ledgerClient.write?.entries ?? []) {
			if (isSameProcess(entry.holder, this.#self)) {
				claimedIds.add(entry.id);
			}
		}

		return claimedIds;
	}

	/** Reads the ledger, and renews, takes over and splits entries when due. */
	advance(context: Context): void {
		this.ledgerClient.advance(context);
		this.rootShares.advance(context.now);
		if (!this.ledgerClient.isIdle(context.now)) {
			return;
		}

		const write = this.ledgerClient.isMissing
			? this.#planner.planCreation(context.now)
			: this.#planner.planUpdate(this.ledgerClient.ledger, context.now);
		if (write === undefined) {
			return;
		}

		if (this.ledgerClient.hasRecentAnswer(context.now)) {
			this.#debitSplit(write);
			this.#capPromises(write);
			this.ledgerClient.sendWrite(write, context);
		} else {
			this.ledgerClient.refresh(context);
		}
	}

	/** Updates the held and guaranteed entries from the latest known ledger. */
	update(now: Milliseconds): void {
		const {entries} = this.ledgerClient.ledger;
		this.guaranteedEntries.update(entries, this.#self, now);
		for (const id of this.#receivedHandovers.keys()) {
			this.guaranteedEntries.remove(id);
		}

		const entriesById = new Map(entries.map((entry) => [entry.id, entry]));
		for (const held of this.rootShares.listEntries()) {
			const entry = entriesById.get(held.id);
			if (entry === undefined) {
				// Entries are never deleted, so the known ledger must be older.
				continue;
			}

			if (!this.#isOwn(entry, held.epoch)) {
				this.rootShares.removeEntry(held.id, now);
				this.#receivedHandovers.delete(held.id);
			} else if (entry.to < held.to) {
				this.rootShares.setEntry({...held, to: entry.to}, now);
			}
		}

		for (const entry of entries) {
			const observed = this.#observed.get(entry.id);
			if (
				observed?.renewal !== entry.renewal ||
				observed.epoch !== entry.epoch
			) {
				const {holder, renewal, epoch} = entry;
				this.#observed.set(entry.id, {holder, renewal, epoch, observedAt: now});
			}
		}
	}

	onPromise(
		promise: GuarantorPromise,
		from: Peer,
		expiresAt: Milliseconds,
		now: Milliseconds,
	): void {
		const held = this.rootShares.findEntry(promise.entryId);
		if (
			held?.epoch === promise.entryEpoch &&
			this.#isGuarantor(held, from) &&
			!this.#promiseExpiriesBeforeWrite.has(held.id) &&
			expiresAt > held.promiseExpiresAt
		) {
			this.rootShares.setEntry({...held, promiseExpiresAt: expiresAt}, now);
		}
	}

	onRelease(release: ReleaseMessage, from: Peer, now: Milliseconds): void {
		const held = this.rootShares.findEntry(release.entryId);
		if (held?.epoch === release.entryEpoch && this.#isGuarantor(held, from)) {
			if (this.#promiseExpiriesBeforeWrite.has(held.id)) {
				this.#promiseExpiriesBeforeWrite.set(held.id, Number.POSITIVE_INFINITY);
				return;
			}

			const promiseExpiresAt = Number.POSITIVE_INFINITY;
			this.rootShares.setEntry({...held, promiseExpiresAt}, now);
		}
	}

	/**
	 * Accepts a root share from a stopping host; returns false if it is outdated.
	 */
	onHandover(
		handover: HandoverMessage,
		from: Peer,
		now: Milliseconds,
	): boolean {
		const entry = this.#findEntry(handover.entryId);
		const {entryId, entryEpoch, stamp, remaining} = handover;
		if (entry !== undefined && entry.epoch !== entryEpoch) {
			return false;
		}

		const holder = entry?.holder ?? from;
		this.#receivedHandovers.set(entryId, {
			holder: {name: holder.name, incarnation: holder.incarnation},
			epoch: entryEpoch,
		});
		this.guaranteedEntries.remove(entryId);
		this.rootShares.setEntry(
			{
				id: entryId,
				from: handover.from,
				to: handover.to,
				epoch: entryEpoch,
				leaseExpiresAt: stamp + remaining,
				promiseExpiresAt: Number.POSITIVE_INFINITY,
				takenOverAt: handover.isClean ? undefined : now,
			},
			now,
		);
		return true;
	}

	/** Finds a peer to which the entry may be handed over. */
	findSuccessor(
		held: HeldEntry,
		candidates: readonly Peer[],
	): Peer | undefined {
		const pending = this.ledgerClient.write?.entries.find(
			(entry) => entry.id === held.id,
		);
		if (pending !== undefined && pending.epoch !== held.epoch) {
			return undefined;
		}

		if (held.promiseExpiresAt === Number.POSITIVE_INFINITY) {
			return candidates[0];
		}

		const guarantor = this.#findEntry(held.id)?.guarantor ?? null;
		return candidates.find((peer) => isSameProcess(peer, guarantor));
	}

	isMember(peerName: string): boolean {
		return this.#environment.isMember(peerName);
	}

	/** Lists the held entries except one. */
	listOtherEntries(held: HeldEntry): HeldEntry[] {
		return this.rootShares.listEntries().filter((each) => each.id !== held.id);
	}

	removeHandedOver(held: HeldEntry, now: Milliseconds): void {
		this.#handedOverIds.add(held.id);
		this.#receivedHandovers.delete(held.id);
		this.rootShares.removeEntry(held.id, now);
	}

	get #self(): ProcessId {
		return this.#environment.self;
	}

	#findEntry(id: string): LedgerEntry | undefined {
		return this.ledgerClient.ledger.entries.find((entry) => entry.id === id);
	}

	#isGuarantor(held: HeldEntry, peer: Peer): boolean {
		return isSameProcess(this.#findEntry(held.id)?.guarantor ?? null, peer);
	}

	/** Whether the ledger entry still belongs to this host at the held epoch. */
	#isOwn(entry: LedgerEntry, epoch: number): boolean {
		if (entry.epoch !== epoch || this.#handedOverIds.has(entry.id)) {
			return false;
		}

		const holder = this.#receivedHandovers.get(entry.id)?.holder ?? this.#self;
		return isSameProcess(entry.holder, holder);
	}

	#onWriteEnded(
		write: LedgerWrite,
		isApplied: boolean,
		now: Milliseconds,
	): void {
		this.#uncapPromises(isApplied, now);
		if (isApplied) {
			this.#plannerState.renewAt =
				write.sentAt +
				leaseRenewalInterval * (0.75 + 0.25 * this.#renewalJitter);
		}

		const entries = isApplied
			? write.entries
			: this.ledgerClient.ledger.entries;
		for (const entry of entries) {
			if (isSameProcess(entry.holder, this.#self)) {
				this.#holdEntry(entry, isApplied ? write.sentAt : undefined, now);
			}
		}

		this.update(now);
	}

	/**
	 * Holds an entry after a write. `renewedAt` is set if the write was applied.
	 */
	#holdEntry(
		entry: LedgerEntry,
		renewedAt: Milliseconds | undefined,
		now: Milliseconds,
	): void {
		const held = this.rootShares.findEntry(entry.id);
		if (this.#handedOverIds.has(entry.id)) {
			return;
		}

		if (renewedAt === undefined) {
			if (held !== undefined && !this.#receivedHandovers.has(entry.id)) {
				this.rootShares.setEntry(
					{...held, from: entry.from, to: entry.to},
					now,
				);
			}

			return;
		}

		const previousHolder = this.#observed.get(entry.id)?.holder ?? this.#self;
		const isTakenOver =
			held === undefined && !isSameProcess(previousHolder, this.#self);
		this.#receivedHandovers.delete(entry.id);
		this.rootShares.setEntry(
			{
				id: entry.id,
				from: entry.from,
				to: entry.to,
				epoch: entry.epoch,
				leaseExpiresAt:
					renewedAt +
					shortenByClockDrift(
						rootLeaseDuration,
						this.#safeguards.applyClockMargin,
					),
				promiseExpiresAt: this.#computePromiseExpiry(entry, held, renewedAt),
				takenOverAt: isTakenOver ? now : held?.takenOverAt,
			},
			now,
		);
	}

	#computePromiseExpiry(
		entry: LedgerEntry,
		held: HeldEntry | undefined,
		renewedAt: Milliseconds,
	): Milliseconds {
		if (entry.guarantor === null) {
			return Number.POSITIVE_INFINITY;
		}

		if (held?.epoch === entry.epoch) {
			return held.promiseExpiresAt;
		}

		if (this.#observed.get(entry.id)?.epoch === entry.epoch) {
			return Number.NEGATIVE_INFINITY;
		}

		// A new guarantor does not take over for one promise duration after the
		// write.
		return renewedAt + promiseDuration;
	}

	/** Debits the parts of split entries before the write is sent. */
	#debitSplit(write: LedgerWrite): void {
		for (const {id, to} of write.entries) {
			const held = this.rootShares.findEntry(id);
			if (held !== undefined && to < held.to) {
				this.rootShares.setEntry({...held, to}, write.sentAt);
			}
		}
	}

	/**
	 * Caps promises while a write that changes the guarantor is in flight: the
	 * store may hold either guarantor, so a promise of the former one must not
	 * outlast the first promise of the new one.
	 */
	#capPromises(write: LedgerWrite): void {
		const {sentAt} = write;
		for (const entry of write.entries) {
			const held = this.rootShares.findEntry(entry.id);
			if (held !== undefined && held.epoch !== entry.epoch) {
				this.#promiseExpiriesBeforeWrite.set(held.id, held.promiseExpiresAt);
				const promiseExpiresAt = Math.min(
					held.promiseExpiresAt,
					sentAt + promiseDuration,
				);
				this.rootShares.setEntry({...held, promiseExpiresAt}, sentAt);
			}
		}
	}

	/** Restores the promises capped for a write that was not applied. */
	#uncapPromises(isApplied: boolean, now: Milliseconds): void {
		for (const [id, promiseExpiresAt] of this.#promiseExpiriesBeforeWrite) {
			const held = this.rootShares.findEntry(id);
			if (!isApplied && held !== undefined) {
				this.rootShares.setEntry({...held, promiseExpiresAt}, now);
			}
		}

		this.#promiseExpiriesBeforeWrite.clear();
	}
}
