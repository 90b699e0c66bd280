import type {Milliseconds} from '@parsleyvale/shared';
import {isSameProcess, type LedgerEntry, type ProcessId} from './ledger.js';
import type {GuarantorPromise} from './messages.js';
import type {Peer} from './peer.js';
import type {Safeguards} from './safeguards.js';
import {stateMessageInterval, promiseDuration} from './timing.js';
import {extendByClockDrift} from './units.js';

type GuaranteedEntry = {
	readonly entry: LedgerEntry;
	promiseExpiresAt: Milliseconds;
	isReleased: boolean;
};

/** Root shares of peers that this host may take over, and when. */
export class GuaranteedEntries {
	readonly #safeguards: Safeguards;
	readonly #group: string;
	readonly #entries = new Map<string, GuaranteedEntry>();

	constructor(group: string, safeguards: Safeguards) {
		this.#group = group;
		this.#safeguards = safeguards;
	}

	/** Updates the guaranteed entries from a newer ledger. */
	update(
		entries: readonly LedgerEntry[],
		self: ProcessId,
		now: Milliseconds,
	): void {
		// Entries of other hosts of which this host is the guarantor.
		const own = entries.filter(
			(entry) =>
				isSameProcess(entry.guarantor, self) &&
				!isSameProcess(entry.holder, self),
		);
		const ids = new Set(own.map((entry) => entry.id));
		for (const id of this.#entries.keys()) {
			if (!ids.has(id)) {
				this.#entries.delete(id);
			}
		}

		for (const entry of own) {
			const known = this.#entries.get(entry.id);
			const isSame = known?.entry.epoch === entry.epoch;
			this.#entries.set(entry.id, {
				entry,
				// After a new guarantor is written, the holder may use its share for
				// one promise duration without hearing from it.
				promiseExpiresAt: isSame
					? known.promiseExpiresAt
					: now + this.#extendedPromiseDuration,
				isReleased: isSame && known.isReleased,
			});
		}
	}

	/**
	 * Promises the peer not to take over its root shares for one promise
	 * duration.
	 */
	renewPromises(peer: Peer, claimed: ReadonlySet<string>): GuarantorPromise[] {
		const promises: GuarantorPromise[] = [];
		for (const guaranteed of this.#entries.values()) {
			const {id, holder, epoch} = guaranteed.entry;
			if (isSameProcess(holder, peer) && !claimed.has(id)) {
				guaranteed.promiseExpiresAt = Math.max(
					guaranteed.promiseExpiresAt,
					peer.lastReceivedAt + this.#extendedPromiseDuration,
				);
				promises.push({group: this.#group, entryId: id, entryEpoch: epoch});
			}
		}

		return promises;
	}

	/** Lists root shares that were not released and whose promise has expired. */
	listTakeoverCandidates(
		findPeer: (process: ProcessId) => Peer | undefined,
		now: Milliseconds,
	): string[] {
		const due: string[] = [];
		for (const guaranteed of this.#entries.values()) {
			const lastReceivedAt =
				findPeer(guaranteed.entry.holder)?.lastReceivedAt ??
				Number.NEGATIVE_INFINITY;
			const earliestTakeover = this.#safeguards.waitForPromise
				? guaranteed.promiseExpiresAt
				: lastReceivedAt + 2 * stateMessageInterval;
			if (earliestTakeover < now && !guaranteed.isReleased) {
				due.push(guaranteed.entry.id);
			}
		}

		return due;
	}

	/**
	 * Gives up the right to take over permanently; returns the released entries.
	 */
	release(claimed: ReadonlySet<string>): LedgerEntry[] {
		const released: LedgerEntry[] = [];
		for (const guaranteed of this.#entries.values()) {
			if (!guaranteed.isReleased && !claimed.has(guaranteed.entry.id)) {
				guaranteed.isReleased = true;
				released.push(guaranteed.entry);
			}
		}

		return released;
	}

	remove(entryId: string): void {
		this.#entries.delete(entryId);
	}

	get #extendedPromiseDuration(): Milliseconds {
		return extendByClockDrift(
			promiseDuration,
			this.#safeguards.applyClockMargin,
		);
	}
}
