import type {Milliseconds} from '@parsleyvale/shared';
import type {Holding} from './holding.js';
import type {SliceItem} from './messages.js';
import type {Peer} from './peer.js';
import type {Safeguards} from './safeguards.js';
import {promiseSpan} from './timing.js';
import {toEarlySpan, toLateSpan} from './units.js';

/** How much moves. */
export type Order = {
	readonly units: number;
	/** Tokens to go with a rate; undefined: in proportion to the units. */
	readonly amount?: number | undefined;
};

type FindHolding = (budgetId: string) => Holding | undefined;

/** Moves slices of budgets between this host and its peers. */
export class LoanBook {
	readonly #safeguards: Safeguards;
	readonly #findHolding: FindHolding;
	/** Peers that lend to this host. */
	readonly #lenders = new Set<Peer>();
	/** Peers with a book that this host has to close one day. */
	readonly #borrowers = new Set<Peer>();
	#nextLapse = Number.POSITIVE_INFINITY;

	constructor(safeguards: Safeguards, findHolding: FindHolding) {
		this.#safeguards = safeguards;
		this.#findHolding = findHolding;
	}

	get hasLent(): boolean {
		return [...this.#borrowers].some((peer) => peer.lent.size > 0);
	}

	get hasBorrowed(): boolean {
		return this.#lenders.size > 0;
	}

	listLenders(): Peer[] {
		return [...this.#lenders];
	}

	/** Gives up loans that have ended; called before every use of a holding. */
	advance(now: Milliseconds): void {
		if (now < this.#nextLapse) {
			return;
		}

		for (const peer of this.#lenders) {
			if (peer.validUntil <= now) {
				this.dropBorrowed(peer, peer.validUntil);
			}
		}

		this.#updateNextLapse();
	}

	/** Closes the books of borrowers whose right has ended. */
	reclaim(now: Milliseconds): void {
		for (const peer of this.#borrowers) {
			if (peer.grantedUntil < now || !this.#safeguards.waitForLoan) {
				this.closeBook(peer, now);
			}
		}
	}

	/** Takes back all that is lent to a peer that holds none of it any more. */
	closeBook(peer: Peer, now: Milliseconds): void {
		for (const [budgetId, units] of peer.lent) {
			this.#findHolding(budgetId)?.reclaim(units, now);
		}

		this.#borrowers.delete(peer);
		peer.lent.clear();
		peer.loanEpoch++;
		peer.unacknowledged = peer.unacknowledged.filter(
			(item) => item.kind !== 'loan',
		);
	}

	/** How long after the peer's last stamp the loans to it hold. */
	grantSpan(peer: Peer, rootEnd: Milliseconds): Milliseconds {
		const {clockMargin} = this.#safeguards;
		// Short by the margin also without a near end: a root right that is cut
		// to one span from now must not end before the loans drawn on it.
		const longest = Math.min(promiseSpan, rootEnd - peer.heardAt);
		const span = Math.max(0, toEarlySpan(longest, clockMargin));
		peer.grantedUntil = Math.max(
			peer.grantedUntil,
			peer.heardAt + toLateSpan(span, clockMargin),
		);
		return span;
	}

	/** Debits a slice of this host's root share and sends it. */
	lend(peer: Peer, holding: Holding, order: Order, now: Milliseconds): void {
		const {units, amount} = order;
		const budgetId = holding.spec.id;
		const slice = holding.removeSlice(units, amount, now);
		if (this.#safeguards.debitBeforeCredit) {
			holding.addLent(units, now);
			peer.lent.set(budgetId, (peer.lent.get(budgetId) ?? 0) + units);
		}

		this.#borrowers.add(peer);
		peer.addItem({kind: 'loan', epoch: peer.loanEpoch, budgetId, ...slice});
	}

	/** Debits a slice of what the peer lent and sends it back. */
	returnSlice(
		peer: Peer,
		holding: Holding,
		order: Order & {readonly beneficiary?: string},
		now: Milliseconds,
	): void {
		const {units, amount, beneficiary} = order;
		const budgetId = holding.spec.id;
		const slice = holding.removeSlice(units, amount, now);
		holding.addBorrowed(-units, now);
		this.#setBorrowed(
			peer,
			budgetId,
			(peer.borrowed.get(budgetId) ?? 0) - units,
		);
		const epoch = peer.borrowedEpoch;
		peer.addItem({kind: 'return', epoch, budgetId, ...slice, beneficiary});
	}

	/** Credits a slice that the peer lent. */
	onLoan(peer: Peer, item: SliceItem, now: Milliseconds): void {
		const isCurrent = item.epoch === peer.borrowedEpoch;
		if (!isCurrent || item.epoch <= peer.droppedEpoch) {
			return;
		}

		const {budgetId, units, parts} = item;
		const holding = this.#findHolding(budgetId);
		if (holding === undefined) {
			// A newer or older configuration: the slice is of no use here.
			peer.addItem({kind: 'return', epoch: item.epoch, budgetId, units, parts});
			return;
		}

		holding.addBorrowed(units, now);
		holding.addParts(parts, now);
		this.#setBorrowed(
			peer,
			budgetId,
			(peer.borrowed.get(budgetId) ?? 0) + units,
		);
	}

	/** Credits a slice that the peer gave back. */
	onReturn(peer: Peer, item: SliceItem, now: Milliseconds): void {
		const lent = peer.lent.get(item.budgetId) ?? 0;
		const units = Math.min(lent, item.units);
		if (item.epoch !== peer.loanEpoch || units === 0) {
			return;
		}

		if (units === lent) {
			peer.lent.delete(item.budgetId);
		} else {
			peer.lent.set(item.budgetId, lent - units);
		}

		const holding = this.#findHolding(item.budgetId);
		holding?.addLent(-units, now);
		holding?.addParts(item.parts, now);
	}

	/** Learns which book of the peer is open and until when it holds. */
	onGrant(
		peer: Peer,
		epoch: number,
		validUntil: Milliseconds | undefined,
		now: Milliseconds,
	): void {
		if (epoch > peer.borrowedEpoch) {
			this.dropBorrowed(peer, now);
			peer.borrowedEpoch = epoch;
		}

		peer.validUntil = validUntil ?? Number.NEGATIVE_INFINITY;
		this.#updateNextLapse();
		this.advance(now);
	}

	/** Gives up all that the peer lent. */
	dropBorrowed(peer: Peer, at: Milliseconds): void {
		if (peer.borrowed.size === 0) {
			return;
		}

		for (const [budgetId, units] of peer.borrowed) {
			this.#findHolding(budgetId)?.addBorrowed(-units, at);
		}

		peer.borrowed.clear();
		peer.droppedEpoch = peer.borrowedEpoch;
		this.#lenders.delete(peer);
	}

	#setBorrowed(peer: Peer, budgetId: string, units: number): void {
		if (units > 0) {
			peer.borrowed.set(budgetId, units);
			this.#lenders.add(peer);
		} else {
			peer.borrowed.delete(budgetId);
		}

		if (peer.borrowed.size === 0) {
			this.#lenders.delete(peer);
		}

		this.#updateNextLapse();
	}

	#updateNextLapse(): void {
		this.#nextLapse = Number.POSITIVE_INFINITY;
		for (const peer of this.#lenders) {
			this.#nextLapse = Math.min(this.#nextLapse, peer.validUntil);
		}
	}
}
