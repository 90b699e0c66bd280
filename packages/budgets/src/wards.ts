import type {Milliseconds} from '@parsleyvale/shared';
import {isSameProcess, type Entry, type ProcessId} from './ledger.js';
import type {EntryPromise} from './messages.js';
import type {Peer} from './peer.js';
import type {Safeguards} from './safeguards.js';
import {gossipPeriod, promiseSpan} from './timing.js';
import {toLateSpan} from './units.js';

type Ward = {
	readonly entry: Entry;
	promisedUntil: Milliseconds;
	isReleased: boolean;
};

/** Root shares of peers that this host may take over, and when. */
export class Wards {
	readonly #safeguards: Safeguards;
	readonly #group: string;
	readonly #wards = new Map<string, Ward>();

	constructor(group: string, safeguards: Safeguards) {
		this.#group = group;
		this.#safeguards = safeguards;
	}

	/** Learns from a newer ledger whose guarantor this host is. */
	update(entries: readonly Entry[], self: ProcessId, now: Milliseconds): void {
		const own = entries.filter(
			(entry) =>
				isSameProcess(entry.guarantor, self) &&
				!isSameProcess(entry.holder, self),
		);
		const ids = new Set(own.map((entry) => entry.id));
		for (const id of this.#wards.keys()) {
			if (!ids.has(id)) {
				this.#wards.delete(id);
			}
		}

		for (const entry of own) {
			const known = this.#wards.get(entry.id);
			const isSame = known?.entry.epoch === entry.epoch;
			this.#wards.set(entry.id, {
				entry,
				// A holder may use its share for one span after a new guarantor
				// was written, before it hears from it.
				promisedUntil: isSame ? known.promisedUntil : now + this.#lateSpan,
				isReleased: isSame && known.isReleased,
			});
		}
	}

	/** Promises to the peer to leave its root shares alone for one span. */
	renew(peer: Peer, claimed: ReadonlySet<string>): EntryPromise[] {
		const promises: EntryPromise[] = [];
		for (const ward of this.#wards.values()) {
			const {id, holder, epoch} = ward.entry;
			if (isSameProcess(holder, peer) && !claimed.has(id)) {
				ward.promisedUntil = Math.max(
					ward.promisedUntil,
					peer.heardAt + this.#lateSpan,
				);
				promises.push({group: this.#group, entryId: id, entryEpoch: epoch});
			}
		}

		return promises;
	}

	/** Root shares whose holders have been silent past every promise. */
	listDue(
		findPeer: (process: ProcessId) => Peer | undefined,
		now: Milliseconds,
	): string[] {
		const due: string[] = [];
		for (const ward of this.#wards.values()) {
			const heardAt =
				findPeer(ward.entry.holder)?.heardAt ?? Number.NEGATIVE_INFINITY;
			const end = this.#safeguards.waitForPromise
				? ward.promisedUntil
				: heardAt + 2 * gossipPeriod;
			if (end < now && !ward.isReleased) {
				due.push(ward.entry.id);
			}
		}

		return due;
	}

	/** Gives up, for good, the right to take over; lists what was given up. */
	release(claimed: ReadonlySet<string>): Entry[] {
		const released: Entry[] = [];
		for (const ward of this.#wards.values()) {
			if (!ward.isReleased && !claimed.has(ward.entry.id)) {
				ward.isReleased = true;
				released.push(ward.entry);
			}
		}

		return released;
	}

	remove(entryId: string): void {
		this.#wards.delete(entryId);
	}

	get #lateSpan(): Milliseconds {
		return toLateSpan(promiseSpan, this.#safeguards.clockMargin);
	}
}
