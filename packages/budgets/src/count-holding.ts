import type {BudgetSpec, TakeResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Holding, type RemainingRange, type Slice} from './holding.js';
import type {RootShares} from './root-shares.js';
import type {Safeguards} from './safeguards.js';
import {extendByClockDrift, countSlots} from './units.js';

type CountSpec = Extract<BudgetSpec, {kind: 'count'}>;

/** Slots reserved because their previous user may still be active. */
type ReservedSlots = {readonly slots: number; readonly expiresAt: Milliseconds};

/** This host's slots of a count budget, in use or free. */
export class CountHolding extends Holding {
	#spec: CountSpec;
	readonly #rootShares: RootShares;
	readonly #safeguards: Safeguards;
	#inUse = 0;
	#reservedSlots: ReservedSlots[] = [];

	constructor(spec: CountSpec, rootShares: RootShares, safeguards: Safeguards) {
		super();
		this.#spec = spec;
		this.#rootShares = rootShares;
		this.#safeguards = safeguards;
	}

	get spec(): CountSpec {
		return this.#spec;
	}

	get totalUnits(): number {
		return this.#spec.total;
	}

	setSpec(spec: BudgetSpec, _now: Milliseconds): boolean {
		if (spec.kind !== 'count') {
			return false;
		}

		this.#spec = spec;
		return true;
	}

	take(amount: number, now: Milliseconds): TakeResult {
		if (amount > this.#spec.total) {
			return 'too-large';
		}

		if (amount > this.getAvailableAmount(now)) {
			return 'share-used-up';
		}

		this.#inUse += amount;
		return 'taken';
	}

	release(amount: number): void {
		this.#inUse = Math.max(0, this.#inUse - amount);
	}

	getAvailableAmount(now: Milliseconds): number {
		return Math.max(0, this.getHeldUnits(now) - this.#inUse);
	}

	getHeldUnits(now: Milliseconds): number {
		return this.#getRootSlots(now) + this.borrowedUnits;
	}

	getTransferableUnits(now: Milliseconds): number {
		return this.getAvailableAmount(now);
	}

	getUnlentRootUnits(now: Milliseconds): number {
		return Math.max(0, this.#getRootSlots(now));
	}

	fitsWithin(remaining: readonly RemainingRange[]): boolean {
		const slots = remaining.reduce(
			(sum, range) => sum + countSlots(range, this.#spec.total),
			0,
		);
		const reserved = this.#reservedSlots.reduce(
			(sum, reservation) => sum + reservation.slots,
			0,
		);
		return this.lentUnits + this.#inUse + reserved <= slots;
	}

	debitSlice(
		units: number,
		_requestedTokens: number | undefined,
		_now: Milliseconds,
	): Omit<Slice, 'budgetId'> {
		return {units, parts: 0};
	}

	addLent(units: number, _now: Milliseconds): void {
		this.lentUnits += units;
	}

	addBorrowed(units: number, _now: Milliseconds): void {
		this.borrowedUnits += units;
	}

	addParts(_parts: number, _now: Milliseconds): void {
		// A count budget has no tokens.
	}

	reclaim(units: number, now: Milliseconds): void {
		this.lentUnits -= units;
		if (this.#safeguards.waitForHolds) {
			const holdDuration = extendByClockDrift(
				this.#spec.maxHoldDuration,
				this.#safeguards.applyClockMargin,
			);
			this.#reservedSlots.push({slots: units, expiresAt: now + holdDuration});
		}
	}

	/**
	 * Returns a negative number if more is lent than the root share holds now.
	 */
	#getRootSlots(now: Milliseconds): number {
		this.#reservedSlots = this.#reservedSlots.filter(
			(reservation) => reservation.expiresAt >= now,
		);
		const reserved = this.#reservedSlots.reduce(
			(sum, reservation) => sum + reservation.slots,
			0,
		);
		const {total, maxHoldDuration} = this.#spec;
		return (
			this.#rootShares.getSlots(total, maxHoldDuration, now) -
			this.lentUnits -
			reserved
		);
	}
}
