import type {BudgetSpec, TakeResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Holding, type KeptPart, type Slice} from './holding.js';
import type {RootShare} from './root-share.js';
import type {Safeguards} from './safeguards.js';
import {largestBurst, partsPerToken, shareUnits, toSlowClock} from './units.js';

type RateSpec = Extract<BudgetSpec, {kind: 'rate'}>;

/** Covers the rounding of clock readings. */
const clockResolution: Milliseconds = 0.001;

/** A share of a token bucket, with its part of the rate and of the burst. */
export class RateHolding extends Holding {
	#spec: RateSpec;
	readonly #root: RootShare;
	readonly #safeguards: Safeguards;
	#parts = 0;
	/** Reading of the slow clock up to which tokens have accrued. */
	#accruedAt: Milliseconds;
	/** Number of the next change of the root share to replay. */
	#nextChange: number;
	#rootUnits: number;
	/** When the bucket last had no place for one more token. */
	#fullAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(
		spec: RateSpec,
		root: RootShare,
		safeguards: Safeguards,
		definedAt: Milliseconds,
	) {
		super();
		this.#spec = {...spec, burst: Math.min(spec.burst, largestBurst)};
		this.#root = root;
		this.#safeguards = safeguards;
		const later = root.changes.findIndex((change) => change.at > definedAt);
		const index = Math.max(later === -1 ? root.changes.length : later, 1);
		const start = root.changes[index - 1]!;
		this.#accruedAt = this.#toClock(Math.max(start.at, definedAt));
		this.#nextChange = root.firstChange + index;
		this.#rootUnits = start.units;
	}

	get spec(): RateSpec {
		return this.#spec;
	}

	get wholeUnits(): number {
		return shareUnits;
	}

	setSpec(spec: BudgetSpec, now: Milliseconds): boolean {
		if (spec.kind !== 'rate') {
			return false;
		}

		this.#settle(now);
		this.#spec = {...spec, burst: Math.min(spec.burst, largestBurst)};
		this.#limit(now);
		return true;
	}

	take(amount: number, now: Milliseconds): TakeResult {
		if (amount > this.#spec.burst) {
			return 'too-large';
		}

		this.#settle(now);
		const parts = Math.ceil(amount) * partsPerToken;
		if (parts > this.#parts) {
			return 'share-used-up';
		}

		this.#parts -= parts;
		return 'taken';
	}

	giveBack(amount: number, now: Milliseconds, takenAt: Milliseconds): void {
		this.#settle(now);
		const isMadeUpFor = takenAt < this.#fullAt;
		if (isMadeUpFor || (amount > 1 && takenAt < now)) {
			return;
		}

		this.#parts += Math.floor(amount) * partsPerToken;
		this.#limit(now);
	}

	getAvailable(now: Milliseconds): number {
		this.#settle(now);
		return Math.floor(this.#parts / partsPerToken);
	}

	getUnits(now: Milliseconds): number {
		this.#settle(now);
		return this.#units;
	}

	getFreeUnits(now: Milliseconds): number {
		return this.getUnits(now);
	}

	getRootUnits(now: Milliseconds): number {
		this.#settle(now);
		return Math.max(0, this.#rootUnits - this.lent);
	}

	hasRoomIn(kept: readonly KeptPart[]): boolean {
		return (
			this.lent <= kept.reduce((sum, part) => sum + part.to - part.from, 0)
		);
	}

	removeSlice(
		units: number,
		wantedAmount: number | undefined,
		now: Milliseconds,
	): Omit<Slice, 'budgetId'> {
		this.#settle(now);
		const held = this.#units;
		if (held === 0) {
			return {units, parts: 0};
		}

		const proportional = Math.floor((this.#parts / held) * units);
		const wanted =
			wantedAmount === undefined
				? proportional
				: Math.max(proportional, wantedAmount * partsPerToken);
		const parts = Math.min(
			this.#parts,
			wanted,
			this.#spec.burst * units * 1000,
		);
		if (this.#safeguards.debitBeforeCredit) {
			this.#parts -= parts;
		}

		return {units, parts};
	}

	addLent(units: number, now: Milliseconds): void {
		this.#settle(now);
		this.lent += units;
		this.#limit(now);
	}

	addBorrowed(units: number, now: Milliseconds): void {
		this.#settle(now);
		this.borrowed += units;
		this.#limit(now);
	}

	addParts(parts: number, now: Milliseconds): void {
		this.#settle(now);
		this.#parts += parts;
		this.#limit(now);
	}

	reclaim(units: number, now: Milliseconds): void {
		this.addLent(-units, now);
	}

	get #units(): number {
		return Math.max(0, this.#rootUnits - this.lent + this.borrowed);
	}

	get #capacity(): number {
		return this.#spec.burst * this.#units * 1000;
	}

	#toClock(now: Milliseconds): Milliseconds {
		return toSlowClock(now, this.#safeguards.clockMargin);
	}

	/** Keeps no more than fits, and counts accrual from now on. */
	#limit(now: Milliseconds): void {
		this.#parts = Math.min(this.#parts, this.#capacity);
		this.#accruedAt = Math.max(this.#accruedAt, this.#toClock(now));
		this.#noteFull(now);
	}

	#settle(now: Milliseconds): void {
		const end = this.#root.firstChange + this.#root.changes.length;
		if (this.#nextChange < this.#root.firstChange) {
			this.#nextChange = this.#root.firstChange;
			this.#rootUnits = 0;
		}

		for (; this.#nextChange < end; this.#nextChange++) {
			const change =
				this.#root.changes[this.#nextChange - this.#root.firstChange]!;
			this.#accrue(change.at);
			const before = this.#capacity;
			this.#rootUnits = change.units;
			if (!this.#safeguards.startEmpty) {
				this.#parts += Math.max(0, this.#capacity - before);
			}

			this.#limit(change.at);
		}

		this.#accrue(now);
		this.#noteFull(now);
	}

	/** Called before tokens leave, so that no moment of being full is missed. */
	#noteFull(now: Milliseconds): void {
		if (this.#capacity - this.#parts < partsPerToken) {
			this.#fullAt = now;
		}
	}

	#accrue(now: Milliseconds): void {
		const clock = this.#toClock(now);
		const perMillisecond = this.#spec.perSecond * this.#units;
		if (perMillisecond === 0) {
			this.#accruedAt = Math.max(this.#accruedAt, clock);
			return;
		}

		const missing = this.#capacity - this.#parts;
		const elapsed = Math.floor(clock - this.#accruedAt);
		if (elapsed >= Math.ceil(missing / perMillisecond)) {
			this.#parts = this.#capacity;
			this.#accruedAt = Math.max(this.#accruedAt, clock);
		} else if (elapsed > 0) {
			this.#parts += perMillisecond * elapsed;
			this.#accruedAt += elapsed;
		}

		this.#removeOverflow(clock, perMillisecond);
	}

	/** Time that has not accrued yet counts only as far as tokens would fit. */
	#removeOverflow(clock: Milliseconds, perMillisecond: number): void {
		const missing = this.#capacity - this.#parts;
		if (perMillisecond * (clock - this.#accruedAt) > missing) {
			this.#accruedAt = Math.min(
				clock,
				clock - missing / perMillisecond + clockResolution,
			);
		}
	}
}
