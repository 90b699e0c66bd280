import type {BudgetSpec, TakeResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Holding, type KeptPart, type Slice} from './holding.js';
import type {RootShare} from './root-share.js';
import type {Safeguards} from './safeguards.js';
import {toLateSpan, toSlots} from './units.js';

type CountSpec = Extract<BudgetSpec, {kind: 'count'}>;

/** Slots whose last user may still be at work. */
type RestingSlots = {readonly slots: number; readonly until: Milliseconds};

/** Slots of a count, in use or free. */
export class CountHolding extends Holding {
	#spec: CountSpec;
	readonly #root: RootShare;
	readonly #safeguards: Safeguards;
	#inUse = 0;
	#resting: RestingSlots[] = [];

	constructor(spec: CountSpec, root: RootShare, safeguards: Safeguards) {
		super();
		this.#spec = spec;
		this.#root = root;
		this.#safeguards = safeguards;
	}

	get spec(): CountSpec {
		return this.#spec;
	}

	get wholeUnits(): number {
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

		if (amount > this.getAvailable(now)) {
			return 'share-used-up';
		}

		this.#inUse += amount;
		return 'taken';
	}

	giveBack(amount: number): void {
		this.#inUse = Math.max(0, this.#inUse - amount);
	}

	getAvailable(now: Milliseconds): number {
		return Math.max(0, this.getUnits(now) - this.#inUse);
	}

	getUnits(now: Milliseconds): number {
		return this.#getRootSlots(now) + this.borrowed;
	}

	getFreeUnits(now: Milliseconds): number {
		return this.getAvailable(now);
	}

	getRootUnits(now: Milliseconds): number {
		return Math.max(0, this.#getRootSlots(now));
	}

	hasRoomIn(kept: readonly KeptPart[]): boolean {
		const slots = kept.reduce(
			(sum, part) => sum + toSlots(part, this.#spec.total),
			0,
		);
		const resting = this.#resting.reduce((sum, rest) => sum + rest.slots, 0);
		return this.lent + this.#inUse + resting <= slots;
	}

	removeSlice(
		units: number,
		_wantedAmount: number | undefined,
		_now: Milliseconds,
	): Omit<Slice, 'budgetId'> {
		return {units, parts: 0};
	}

	addLent(units: number, _now: Milliseconds): void {
		this.lent += units;
	}

	addBorrowed(units: number, _now: Milliseconds): void {
		this.borrowed += units;
	}

	addParts(_parts: number, _now: Milliseconds): void {
		// A count has no tokens.
	}

	reclaim(units: number, now: Milliseconds): void {
		this.lent -= units;
		if (this.#safeguards.waitForHolds) {
			const span = toLateSpan(
				this.#spec.longestHold,
				this.#safeguards.clockMargin,
			);
			this.#resting.push({slots: units, until: now + span});
		}
	}

	/** Negative when more is lent than the root share holds now. */
	#getRootSlots(now: Milliseconds): number {
		this.#resting = this.#resting.filter((rest) => rest.until >= now);
		const resting = this.#resting.reduce((sum, rest) => sum + rest.slots, 0);
		const {total, longestHold} = this.#spec;
		return this.#root.getSlots(total, longestHold, now) - this.lent - resting;
	}
}
