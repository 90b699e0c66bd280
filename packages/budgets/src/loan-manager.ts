import type {Milliseconds} from '@parsleyvale/shared';
import type {Holding} from './holding.js';
import type {SliceMessage} from './messages.js';
import type {Peer} from './peer.js';
import type {Safeguards} from './safeguards.js';
import {promiseDuration} from './timing.js';
import {shortenByClockDrift, extendByClockDrift} from './units.js';

/** Size of a transfer. */
export type TransferSize = {
	readonly units: number;
	/**
	 * Tokens requested with units of a rate budget; in proportion to the units if
	 * undefined.
	 */
	readonly tokens?: number | undefined;
};

type FindHolding = (budgetId: string) => Holding | undefined;

/** Manages loans of budget slices between this host and its peers. */
export class LoanManager {
	readonly #safeguards: Safeguards;
	readonly #findHolding: FindHolding;
	/** Peers that lend to this host. */
	readonly #lenders = new Set<Peer>();
	/** Peers with an open loan epoch of this host. */
	readonly #borrowers = new Set<Peer>();
	#nextExpiry = Number.POSITIVE_INFINITY;

	constructor(safeguards: Safeguards, findHolding: FindHolding) {
		this.#safeguards = safeguards;
		this.#findHolding = findHolding;
	}

	get hasLent(): boolean {
		return [...this.#borrowers].some((peer) => peer.lentUnits.size > 0);
	}

	get hasBorrowed(): boolean {
		return this.#lenders.size > 0;
	}

	listLenders(): Peer[] {
		return [...this.#lenders];
	}

	/**
	 * Drops borrowed units whose loans have expired. Called before every use of a
	 * holding.
	 */
	advance(now: Milliseconds): void {
		if (now < this.#nextExpiry) {
			return;
		}

		for (const peer of this.#lenders) {
			if (peer.borrowedExpiresAt <= now) {
				this.dropBorrowed(peer, peer.borrowedExpiresAt);
			}
		}

		this.#updateNextExpiry();
	}

	/** Closes the loan epochs of borrowers whose loans have expired. */
	reclaimExpired(now: Milliseconds): void {
		for (const peer of this.#borrowers) {
			if (peer.lentExpiresAt < now || !this.#safeguards.waitForLoan) {
				this.closeLentEpoch(peer, now);
			}
		}
	}

	/**
	 * Reclaims all units lent to a peer, which can no longer use them, and starts
	 * the next epoch.
	 */
	closeLentEpoch(peer: Peer, now: Milliseconds): void {
		for (const [budgetId, units] of peer.lentUnits) {
			this.#findHolding(budgetId)?.reclaim(units, now);
		}

		this.#borrowers.delete(peer);
		peer.lentUnits.clear();
		peer.lentEpoch++;
		peer.unacknowledgedMessages = peer.unacknowledgedMessages.filter(
			(message) => message.kind !== 'loan',
		);
	}

	/**
	 * Extends the loans to a peer; returns how long they are valid after the last
	 * reading of its clock that this host received.
	 */
	extendLoans(peer: Peer, rootExpiresAt: Milliseconds): Milliseconds {
		const {applyClockMargin} = this.#safeguards;
		// Shortened, so that loans expire before the promise that they are based
		// on, even if that is capped to one promise duration from now.
		const maxDuration = Math.min(
			promiseDuration,
			rootExpiresAt - peer.lastReceivedAt,
		);
		const duration = Math.max(
			0,
			shortenByClockDrift(maxDuration, applyClockMargin),
		);
		peer.lentExpiresAt = Math.max(
			peer.lentExpiresAt,
			peer.lastReceivedAt + extendByClockDrift(duration, applyClockMargin),
		);
		return duration;
	}

	/** Debits a slice of this host's root share and sends it to the peer. */
	lend(
		peer: Peer,
		holding: Holding,
		size: TransferSize,
		now: Milliseconds,
	): void {
		const {units, tokens} = size;
		const budgetId = holding.spec.id;
		const slice = holding.debitSlice(units, tokens, now);
		if (this.#safeguards.debitBeforeCredit) {
			holding.addLent(units, now);
			peer.lentUnits.set(budgetId, (peer.lentUnits.get(budgetId) ?? 0) + units);
		}

		this.#borrowers.add(peer);
		peer.enqueue({kind: 'loan', epoch: peer.lentEpoch, budgetId, ...slice});
	}

	/** Debits a slice borrowed from the peer and sends it back. */
	returnSlice(
		peer: Peer,
		holding: Holding,
		size: TransferSize & {readonly nextBorrower?: string},
		now: Milliseconds,
	): void {
		const {units, tokens, nextBorrower} = size;
		const budgetId = holding.spec.id;
		const slice = holding.debitSlice(units, tokens, now);
		holding.addBorrowed(-units, now);
		this.#setBorrowed(
			peer,
			budgetId,
			(peer.borrowedUnits.get(budgetId) ?? 0) - units,
		);
		const epoch = peer.borrowedEpoch;
		peer.enqueue({
			kind: 'return',
			epoch,
			budgetId,
			...slice,
			beneficiary: nextBorrower,
		});
	}

	/** Credits a slice that the peer lent. */
	onLoan(peer: Peer, message: SliceMessage, now: Milliseconds): void {
		const isCurrent = message.epoch === peer.borrowedEpoch;
		if (!isCurrent || message.epoch <= peer.droppedBorrowedEpoch) {
			return;
		}

		const {budgetId, units, parts} = message;
		const holding = this.#findHolding(budgetId);
		if (holding === undefined) {
			// This host has a newer or older configuration without the budget, so it
			// returns the slice.
			peer.enqueue({
				kind: 'return',
				epoch: message.epoch,
				budgetId,
				units,
				parts,
			});
			return;
		}

		holding.addBorrowed(units, now);
		holding.addParts(parts, now);
		this.#setBorrowed(
			peer,
			budgetId,
			(peer.borrowedUnits.get(budgetId) ?? 0) + units,
		);
	}

	/** Credits a slice that the peer returned. */
	onReturn(peer: Peer, message: SliceMessage, now: Milliseconds): void {
		const lent = peer.lentUnits.get(message.budgetId) ?? 0;
		const units = Math.min(lent, message.units);
		if (message.epoch !== peer.lentEpoch || units === 0) {
			return;
		}

		if (units === lent) {
			peer.lentUnits.delete(message.budgetId);
		} else {
			peer.lentUnits.set(message.budgetId, lent - units);
		}

		const holding = this.#findHolding(message.budgetId);
		holding?.addLent(-units, now);
		holding?.addParts(message.parts, now);
	}

	/** Updates the epoch and the expiry of the peer's loans to this host. */
	onLoansExtended(
		peer: Peer,
		epoch: number,
		borrowedExpiresAt: Milliseconds | undefined,
		now: Milliseconds,
	): void {
		if (epoch > peer.borrowedEpoch) {
			this.dropBorrowed(peer, now);
			peer.borrowedEpoch = epoch;
		}

		peer.borrowedExpiresAt = borrowedExpiresAt ?? Number.NEGATIVE_INFINITY;
		this.#updateNextExpiry();
		this.advance(now);
	}

	/** Drops all units borrowed from the peer. */
	dropBorrowed(peer: Peer, droppedAt: Milliseconds): void {
		if (peer.borrowedUnits.size === 0) {
			return;
		}

		for (const [budgetId, units] of peer.borrowedUnits) {
			this.#findHolding(budgetId)?.addBorrowed(-units, droppedAt);
		}

		peer.borrowedUnits.clear();
		peer.droppedBorrowedEpoch = peer.borrowedEpoch;
		this.#lenders.delete(peer);
	}

	#setBorrowed(peer: Peer, budgetId: string, units: number): void {
		if (units > 0) {
			peer.borrowedUnits.set(budgetId, units);
			this.#lenders.add(peer);
		} else {
			peer.borrowedUnits.delete(budgetId);
		}

		if (peer.borrowedUnits.size === 0) {
			this.#lenders.delete(peer);
		}

		this.#updateNextExpiry();
	}

	#updateNextExpiry(): void {
		this.#nextExpiry = Number.POSITIVE_INFINITY;
		for (const peer of this.#lenders) {
			this.#nextExpiry = Math.min(this.#nextExpiry, peer.borrowedExpiresAt);
		}
	}
}
