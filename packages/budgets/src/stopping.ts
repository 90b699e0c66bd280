import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Group} from './group.js';
import type {Holdings} from './holdings.js';
import type {LendingPolicy} from './lending-policy.js';
import type {LoanBook} from './loan-book.js';
import type {HeldEntry} from './root-share.js';
import type {Peer} from './peer.js';
import type {PeerTable} from './peer-table.js';
import {guarantorSilence, recallTimeout} from './timing.js';
import {toEarlySpan} from './units.js';

/** A share is kept until nothing was taken from it for this long. */
const quietSpan: Milliseconds = second / 2;

/** Budgets whose tokens go with a handed-over root share. */
const budgetsInHandover = 256;

/** What stopping works on. */
export type StoppingParts = {
	readonly groups: ReadonlyMap<string, Group>;
	readonly peers: PeerTable;
	readonly book: LoanBook;
	readonly holdings: Holdings;
	readonly policy: LendingPolicy;
	readonly hasClockMargin: boolean;
};

/** Hands over all that a stopping host holds, in order. */
export class Stopping {
	readonly #parts: StoppingParts;
	readonly #startedAt: Milliseconds;
	#handedOverAt: Milliseconds | undefined;

	constructor(parts: StoppingParts, now: Milliseconds) {
		this.#parts = parts;
		this.#startedAt = now;
	}

	/** Whether something has still to reach a peer. */
	isBusy(now: Milliseconds): boolean {
		if (this.#handedOverAt === undefined) {
			return true;
		}

		const isWaiting = this.#parts.peers
			.listPeers()
			.some(
				(peer) =>
					peer.unacknowledged.length > 0 && peer.isHeard(now, guarantorSilence),
			);
		return isWaiting && now - this.#handedOverAt < recallTimeout;
	}

	advance(lastTakenAt: Milliseconds, now: Milliseconds): void {
		const {book, policy, peers} = this.#parts;
		const isQuiet = now - lastTakenAt >= quietSpan;
		if (this.#handedOverAt !== undefined || !isQuiet) {
			return;
		}

		policy.returnAll(undefined, now);
		const isTooLate = now - this.#startedAt > recallTimeout;
		const isAlone = this.#listHeirs(now).length === 0;
		if (book.hasLent && !isTooLate) {
			return;
		}

		this.#handedOverAt = now;
		if (!book.hasLent && !isAlone) {
			this.#handOver(now);
		}

		for (const [name, group] of this.#parts.groups) {
			for (const entry of group.wards.release(group.claimed)) {
				peers.find(entry.holder)?.addItem({
					kind: 'release',
					group: name,
					entryId: entry.id,
					entryEpoch: entry.epoch,
				});
			}
		}
	}

	/** Live peers, those without a root share of their own first. */
	#listHeirs(now: Milliseconds): Peer[] {
		return this.#parts.peers
			.listPeers()
			.filter(
				(peer) => peer.isHeard(now, guarantorSilence) && !peer.isStopping,
			);
	}

	#handOver(now: Milliseconds): void {
		for (const [name, group] of this.#parts.groups) {
			const heirs = this.#listHeirs(now).filter((peer) =>
				group.isMember(peer.name),
			);
			for (const held of group.root.listEntries()) {
				const heir = group.findHeir(held, heirs);
				if (heir !== undefined && held.hardEnd > now) {
					this.#handEntryOver(name, group, held, heir, now);
				}
			}
		}
	}

	#handEntryOver(
		groupName: string,
		group: Group,
		held: HeldEntry,
		heir: Peer,
		now: Milliseconds,
	): void {
		const {holdings, hasClockMargin} = this.#parts;
		const isClean =
			held.takenOverAt === undefined &&
			holdings.hasRoomIn(groupName, group.listOthers(held));
		const parts = this.#listParts(groupName, held, now);
		group.removeHandedOver(held, now);
		heir.addItem({
			kind: 'handover',
			group: groupName,
			entryId: held.id,
			entryEpoch: held.epoch,
			from: held.from,
			to: held.to,
			isClean,
			stamp: heir.heardStamp ?? 0,
			remaining: toEarlySpan(held.hardEnd - heir.heardAt, hasClockMargin),
			parts,
		});
	}

	/** Tokens that go with the entry, debited here. */
	#listParts(
		groupName: string,
		held: HeldEntry,
		now: Milliseconds,
	): Array<{budgetId: string; parts: number}> {
		return this.#parts.holdings
			.listOf(groupName)
			.filter((holding) => holding.spec.kind === 'rate')
			.slice(0, budgetsInHandover)
			.map((holding) => ({
				budgetId: holding.spec.id,
				parts: holding.removeSlice(held.to - held.from, undefined, now).parts,
			}))
			.filter(({parts}) => parts > 0);
	}
}
