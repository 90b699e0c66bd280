import type {Context} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {isSameProcess, type Entry, type ProcessId} from './ledger.js';
import {LedgerClient, type LedgerWrite} from './ledger-client.js';
import {
	LedgerPlanner,
	type GroupNeighbours,
	type PlanView,
	type Seen,
} from './ledger-planner.js';
import type {EntryPromise, Handover, Release} from './messages.js';
import type {Peer} from './peer.js';
import {RootShare, type HeldEntry} from './root-share.js';
import type {Safeguards} from './safeguards.js';
import {hardLease, promiseSpan, renewalPeriod} from './timing.js';
import {shareUnits, toEarlySpan, toLateSpan} from './units.js';
import {Wards} from './wards.js';

/** Root shares of one group of budgets: the ledger, leases and promises. */
export class Group {
	readonly root: RootShare;
	readonly client: LedgerClient;
	readonly wards: Wards;
	readonly #safeguards: Safeguards;
	readonly #neighbours: GroupNeighbours;
	readonly #seen = new Map<string, Seen>();
	/** Entries that a stopping host handed to this one, not yet recorded. */
	readonly #adopted = new Map<string, Pick<Entry, 'holder' | 'epoch'>>();
	/** Entries that this host handed over. */
	readonly #handedOver = new Set<string>();
	/** Ends of promises as they were before a write that may change them. */
	readonly #limited = new Map<string, Milliseconds>();
	readonly #planner: LedgerPlanner;
	readonly #view: PlanView;
	readonly #renewalJitter: number;

	constructor(
		readonly name: string,
		safeguards: Safeguards,
		neighbours: GroupNeighbours,
		random: () => number,
	) {
		this.#safeguards = safeguards;
		this.#neighbours = neighbours;
		this.root = new RootShare(safeguards);
		this.wards = new Wards(name, safeguards);
		this.#view = {
			root: this.root,
			wards: this.wards,
			seen: this.#seen,
			adopted: this.#adopted,
			handedOver: this.#handedOver,
			renewAt: Number.NEGATIVE_INFINITY,
			isRecalling: false,
		};
		this.#planner = new LedgerPlanner(this.#view, neighbours, safeguards);
		this.#renewalJitter = random();
		this.client = new LedgerClient(
			`budgets/${name}`,
			safeguards,
			(write, isApplied, context) => {
				this.#onWriteEnded(write, isApplied, context.now);
			},
		);
	}

	/** Whether a gift waits until peers return what they borrowed. */
	get isRecalling(): boolean {
		return this.#view.isRecalling;
	}

	/** Entries that a write on its way takes from others. */
	get claimed(): ReadonlySet<string> {
		const claimed = new Set<string>();
		for (const entry of this.client.write?.entries ?? []) {
			if (isSameProcess(entry.holder, this.#self)) {
				claimed.add(entry.id);
			}
		}

		return claimed;
	}

	/** Reads, renews, takes over and gives away, as time demands. */
	advance(context: Context): void {
		this.client.advance(context);
		this.root.advance(context.now);
		if (!this.client.isIdle(context.now)) {
			return;
		}

		const write = this.client.isMissing
			? this.#planner.planCreation(context.now)
			: this.#planner.planUpdate(this.client.ledger, context.now);
		if (write === undefined) {
			return;
		}

		if (this.client.isFresh(context.now)) {
			this.#limitGifts(write);
			this.#limitPromises(write);
			this.client.send(write, context);
		} else {
			this.client.refresh(context);
		}
	}

	/** Follows the ledger as the store now shows it. */
	update(now: Milliseconds): void {
		const {entries} = this.client.ledger;
		this.wards.update(entries, this.#self, now);
		for (const id of this.#adopted.keys()) {
			this.wards.remove(id);
		}

		const ids = new Map(entries.map((entry) => [entry.id, entry]));
		for (const held of this.root.listEntries()) {
			const entry = ids.get(held.id);
			if (entry === undefined) {
				// Entries are never deleted: the ledger as known is older.
				continue;
			}

			if (!this.#isOwn(entry, held.epoch)) {
				this.root.removeEntry(held.id, now);
				this.#adopted.delete(held.id);
			} else if (entry.to < held.to) {
				this.root.setEntry({...held, to: entry.to}, now);
			}
		}

		for (const entry of entries) {
			const seen = this.#seen.get(entry.id);
			if (seen?.renewal !== entry.renewal || seen.epoch !== entry.epoch) {
				const {holder, renewal, epoch} = entry;
				this.#seen.set(entry.id, {holder, renewal, epoch, at: now});
			}
		}
	}

	onPromise(
		promise: EntryPromise,
		from: Peer,
		end: Milliseconds,
		now: Milliseconds,
	): void {
		const held = this.root.findEntry(promise.entryId);
		if (
			held?.epoch === promise.entryEpoch &&
			this.#isGuarantor(held, from) &&
			!this.#limited.has(held.id) &&
			end > held.softEnd
		) {
			this.root.setEntry({...held, softEnd: end}, now);
		}
	}

	onRelease(release: Release, from: Peer, now: Milliseconds): void {
		const held = this.root.findEntry(release.entryId);
		if (held?.epoch === release.entryEpoch && this.#isGuarantor(held, from)) {
			if (this.#limited.has(held.id)) {
				this.#limited.set(held.id, Number.POSITIVE_INFINITY);
				return;
			}

			const softEnd = Number.POSITIVE_INFINITY;
			this.root.setEntry({...held, softEnd}, now);
		}
	}

	/** Takes a root share from a stopping host; false when it is outdated. */
	onHandover(handover: Handover, from: Peer, now: Milliseconds): boolean {
		const entry = this.#findEntry(handover.entryId);
		const {entryId, entryEpoch, stamp, remaining} = handover;
		if (entry !== undefined && entry.epoch !== entryEpoch) {
			return false;
		}

		const holder = entry?.holder ?? from;
		this.#adopted.set(entryId, {
			holder: {name: holder.name, incarnation: holder.incarnation},
			epoch: entryEpoch,
		});
		this.wards.remove(entryId);
		this.root.setEntry(
			{
				id: entryId,
				from: handover.from,
				to: handover.to,
				epoch: entryEpoch,
				hardEnd: stamp + remaining,
				softEnd: Number.POSITIVE_INFINITY,
				takenOverAt: handover.isClean ? undefined : now,
			},
			now,
		);
		return true;
	}

	/** The peer that an entry may be handed to, if there is one. */
	findHeir(held: HeldEntry, others: readonly Peer[]): Peer | undefined {
		const pending = this.client.write?.entries.find(
			(entry) => entry.id === held.id,
		);
		if (pending !== undefined && pending.epoch !== held.epoch) {
			return undefined;
		}

		if (held.softEnd === Number.POSITIVE_INFINITY) {
			return others[0];
		}

		const guarantor = this.#findEntry(held.id)?.guarantor ?? null;
		return others.find((peer) => isSameProcess(peer, guarantor));
	}

	isMember(peerName: string): boolean {
		return this.#neighbours.isMember(peerName);
	}

	/** What is held beside one entry. */
	listOthers(held: HeldEntry): HeldEntry[] {
		return this.root.listEntries().filter((each) => each.id !== held.id);
	}

	removeHandedOver(held: HeldEntry, now: Milliseconds): void {
		this.#handedOver.add(held.id);
		this.#adopted.delete(held.id);
		this.root.removeEntry(held.id, now);
	}

	get #self(): ProcessId {
		return this.#neighbours.self;
	}

	#findEntry(id: string): Entry | undefined {
		return this.client.ledger.entries.find((entry) => entry.id === id);
	}

	#isGuarantor(held: HeldEntry, peer: Peer): boolean {
		return isSameProcess(this.#findEntry(held.id)?.guarantor ?? null, peer);
	}

	/** Whether the ledger still shows the entry as this host holds it. */
	#isOwn(entry: Entry, epoch: number): boolean {
		if (entry.epoch !== epoch || this.#handedOver.has(entry.id)) {
			return false;
		}

		const holder = this.#adopted.get(entry.id)?.holder ?? this.#self;
		return isSameProcess(entry.holder, holder);
	}

	#onWriteEnded(
		write: LedgerWrite,
		isApplied: boolean,
		now: Milliseconds,
	): void {
		this.#clearLimits(isApplied, now);
		if (isApplied) {
			this.#view.renewAt =
				write.sentAt + renewalPeriod * (0.75 + 0.25 * this.#renewalJitter);
		}

		const entries = isApplied ? write.entries : this.client.ledger.entries;
		for (const entry of entries) {
			if (isSameProcess(entry.holder, this.#self)) {
				this.#hold(entry, isApplied ? write.sentAt : undefined, now);
			}
		}

		this.update(now);
	}

	/** Holds an entry after a write; `renewedAt` is set if it was applied. */
	#hold(
		entry: Entry,
		renewedAt: Milliseconds | undefined,
		now: Milliseconds,
	): void {
		const held = this.root.findEntry(entry.id);
		if (this.#handedOver.has(entry.id)) {
			return;
		}

		if (renewedAt === undefined) {
			if (held !== undefined && !this.#adopted.has(entry.id)) {
				this.root.setEntry({...held, from: entry.from, to: entry.to}, now);
			}

			return;
		}

		const holderBefore = this.#seen.get(entry.id)?.holder ?? this.#self;
		const isTakenOver =
			held === undefined && !isSameProcess(holderBefore, this.#self);
		this.#adopted.delete(entry.id);
		this.root.setEntry(
			{
				id: entry.id,
				from: entry.from,
				to: entry.to,
				epoch: entry.epoch,
				hardEnd:
					renewedAt + toEarlySpan(hardLease, this.#safeguards.clockMargin),
				softEnd: this.#computeSoftEnd(entry, held, renewedAt),
				takenOverAt: isTakenOver ? now : held?.takenOverAt,
			},
			now,
		);
	}

	#computeSoftEnd(
		entry: Entry,
		held: HeldEntry | undefined,
		renewedAt: Milliseconds,
	): Milliseconds {
		if (entry.guarantor === null) {
			return Number.POSITIVE_INFINITY;
		}

		if (held?.epoch === entry.epoch) {
			return held.softEnd;
		}

		if (this.#seen.get(entry.id)?.epoch === entry.epoch) {
			return Number.NEGATIVE_INFINITY;
		}

		// A new guarantor leaves the share alone for one span from its writing.
		return renewedAt + promiseSpan;
	}

	/** Debits what is given away before the write is sent. */
	#limitGifts(write: LedgerWrite): void {
		for (const {id, to} of write.entries) {
			const held = this.root.findEntry(id);
			if (held !== undefined && to < held.to) {
				this.root.setEntry({...held, to}, write.sentAt);
			}
		}
	}

	/**
	 * While it is not known which guarantor the store holds, no promise of the
	 * former one counts beyond the span that the new one would grant.
	 */
	#limitPromises(write: LedgerWrite): void {
		const {sentAt} = write;
		for (const entry of write.entries) {
			const held = this.root.findEntry(entry.id);
			if (held !== undefined && held.epoch !== entry.epoch) {
				this.#limited.set(held.id, held.softEnd);
				const softEnd = Math.min(held.softEnd, sentAt + promiseSpan);
				this.root.setEntry({...held, softEnd}, sentAt);
			}
		}
	}

	/** Undoes the limits of a write that was not applied. */
	#clearLimits(isApplied: boolean, now: Milliseconds): void {
		for (const [id, softEnd] of this.#limited) {
			const held = this.root.findEntry(id);
			if (!isApplied && held !== undefined) {
				this.root.setEntry({...held, softEnd}, now);
			}
		}

		this.#limited.clear();
	}
}
