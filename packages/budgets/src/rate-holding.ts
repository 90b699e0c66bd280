import type {BudgetSpec, TakeResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Holding, type RemainingRange, type Slice} from './holding.js';
import type {RootShares} from './root-shares.js';
import type {Safeguards} from './safeguards.js';
import {
	maxBurst,
	partsPerToken,
	totalShareUnits,
	slowByClockDrift,
} from './units.js';

type RateSpec = Extract<BudgetSpec, {kind: 'rate'}>;

/** Tolerance for rounding errors of clock readings. */
const clockResolution: Milliseconds = 0.001;

/**
 * A share of a token bucket, with a proportional part of its rate and burst.
 */
export class RateHolding extends Holding {
	#spec: RateSpec;
	readonly #rootShares: RootShares;
	readonly #safeguards: Safeguards;
	#parts = 0;
	/** Clock reading, slowed by the drift, up to which tokens have accrued. */
	#accruedAt: Milliseconds;
	/** Number of the next root share change to replay. */
	#nextChangeNumber: number;
	#rootUnits: number;
	/** When the bucket last had no room for another token. */
	#lastFullAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(
		spec: RateSpec,
		rootShares: RootShares,
		safeguards: Safeguards,
		definedAt: Milliseconds,
	) {
		super();
		this.#spec = {...spec, burst: Math.min(spec.burst, maxBurst)};
		this.#rootShares = rootShares;
		this.#safeguards = safeguards;
		const firstLaterIndex = rootShares.changes.findIndex(
			(change) => change.at > definedAt,
		);
		const index = Math.max(
			firstLaterIndex === -1 ? rootShares.changes.length : firstLaterIndex,
			1,
		);
		const start = rootShares.changes[index - 1]!;
		this.#accruedAt = this.#slowByClockDrift(Math.max(start.at, definedAt));
		this.#nextChangeNumber = rootShares.firstChangeNumber + index;
		this.#rootUnits = start.units;
	}

	get spec(): RateSpec {
		return this.#spec;
	}

	get totalUnits(): number {
		return totalShareUnits;
	}

	setSpec(spec: BudgetSpec, now: Milliseconds): boolean {
		if (spec.kind !== 'rate') {
			return false;
		}

		this.#advance(now);
		this.#spec = {...spec, burst: Math.min(spec.burst, maxBurst)};
		this.#capParts(now);
		return true;
	}

	take(amount: number, now: Milliseconds): TakeResult {
		if (amount > this.#spec.burst) {
			return 'too-large';
		}

		this.#advance(now);
		const parts = Math.ceil(amount) * partsPerToken;
		if (parts > this.#parts) {
			return 'share-used-up';
		}

		this.#parts -= parts;
		return 'taken';
	}

	release(amount: number, now: Milliseconds, takenAt: Milliseconds): void {
		this.#advance(now);
		const isRefilled = takenAt < this.#lastFullAt;
		if (isRefilled || (amount > 1 && takenAt < now)) {
			return;
		}

		this.#parts += Math.floor(amount) * partsPerToken;
		this.#capParts(now);
	}

	getAvailableAmount(now: Milliseconds): number {
		this.#advance(now);
		return Math.floor(this.#parts / partsPerToken);
	}

	getHeldUnits(now: Milliseconds): number {
		this.#advance(now);
		return this.#units;
	}

	getTransferableUnits(now: Milliseconds): number {
		return this.getHeldUnits(now);
	}

	getUnlentRootUnits(now: Milliseconds): number {
		this.#advance(now);
		return Math.max(0, this.#rootUnits - this.lentUnits);
	}

	fitsWithin(remaining: readonly RemainingRange[]): boolean {
		return (
			this.lentUnits <=
			remaining.reduce((sum, range) => sum + range.to - range.from, 0)
		);
	}

	debitSlice(
		units: number,
		requestedTokens: number | undefined,
		now: Milliseconds,
	): Omit<Slice, 'budgetId'> {
		this.#advance(now);
		const heldUnits = this.#units;
		if (heldUnits === 0) {
			return {units, parts: 0};
		}

		const proportionalParts = Math.floor((this.#parts / heldUnits) * units);
		const requestedParts =
			requestedTokens === undefined
				? proportionalParts
				: Math.max(proportionalParts, requestedTokens * partsPerToken);
		const parts = Math.min(
			this.#parts,
			requestedParts,
			// `partsPerToken` / `totalShareUnits` is 1000.
			this.#spec.burst * units * 1000,
		);
		if (this.#safeguards.debitBeforeCredit) {
			this.#parts -= parts;
		}

		return {units, parts};
	}

	addLent(units: number, now: Milliseconds): void {
		this.#advance(now);
		this.lentUnits += units;
		this.#capParts(now);
	}

	addBorrowed(units: number, now: Milliseconds): void {
		this.#advance(now);
		this.borrowedUnits += units;
		this.#capParts(now);
	}

	addParts(parts: number, now: Milliseconds): void {
		this.#advance(now);
		this.#parts += parts;
		this.#capParts(now);
	}

	reclaim(units: number, now: Milliseconds): void {
		this.addLent(-units, now);
	}

	get #units(): number {
		return Math.max(0, this.#rootUnits - this.lentUnits + this.borrowedUnits);
	}

	/** Burst of the held units, in token parts. */
	get #capacity(): number {
		return this.#spec.burst * this.#units * 1000;
	}

	#slowByClockDrift(now: Milliseconds): Milliseconds {
		return slowByClockDrift(now, this.#safeguards.applyClockMargin);
	}

	/** Discards tokens above the capacity and restarts accrual at `now`. */
	#capParts(now: Milliseconds): void {
		this.#parts = Math.min(this.#parts, this.#capacity);
		this.#accruedAt = Math.max(this.#accruedAt, this.#slowByClockDrift(now));
		this.#recordIfFull(now);
	}

	#advance(now: Milliseconds): void {
		const end =
			this.#rootShares.firstChangeNumber + this.#rootShares.changes.length;
		if (this.#nextChangeNumber < this.#rootShares.firstChangeNumber) {
			this.#nextChangeNumber = this.#rootShares.firstChangeNumber;
			this.#rootUnits = 0;
		}

		for (; this.#nextChangeNumber < end; this.#nextChangeNumber++) {
			const change =
				this.#rootShares.changes[
					this.#nextChangeNumber - this.#rootShares.firstChangeNumber
				]!;
			this.#accrue(change.at);
			const previousCapacity = this.#capacity;
			this.#rootUnits = change.units;
			if (!this.#safeguards.startEmpty) {
				this.#parts += Math.max(0, this.#capacity - previousCapacity);
			}

			this.#capParts(change.at);
		}

		this.#accrue(now);
		this.#recordIfFull(now);
	}

	/**
	 * Called before tokens are removed, so that every time the bucket is full is
	 * recorded.
	 */
	#recordIfFull(now: Milliseconds): void {
		if (this.#capacity - this.#parts < partsPerToken) {
			this.#lastFullAt = now;
		}
	}

	#accrue(now: Milliseconds): void {
		const clock = this.#slowByClockDrift(now);
		const partsPerMillisecond = this.#spec.perSecond * this.#units;
		if (partsPerMillisecond === 0) {
			this.#accruedAt = Math.max(this.#accruedAt, clock);
			return;
		}

		const missingParts = this.#capacity - this.#parts;
		const elapsed = Math.floor(clock - this.#accruedAt);
		if (elapsed >= Math.ceil(missingParts / partsPerMillisecond)) {
			this.#parts = this.#capacity;
			this.#accruedAt = Math.max(this.#accruedAt, clock);
		} else if (elapsed > 0) {
			this.#parts += partsPerMillisecond * elapsed;
			this.#accruedAt += elapsed;
		}

		this.#discardOverflow(clock, partsPerMillisecond);
	}

	/**
	 * Limits the time not yet accrued to what the remaining capacity can hold.
	 */
	#discardOverflow(clock: Milliseconds, partsPerMillisecond: number): void {
		const missingParts = this.#capacity - this.#parts;
		if (partsPerMillisecond * (clock - this.#accruedAt) > missingParts) {
			this.#accruedAt = Math.min(
				clock,
				clock - missingParts / partsPerMillisecond + clockResolution,
			);
		}
	}
}
