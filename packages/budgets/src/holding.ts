import type {BudgetSpec, TakeResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Demand} from './demand.js';

/** A part of one budget on its way between hosts. */
export type Slice = {
	readonly budgetId: string;
	/** Share units of a rate, or slots of a count. */
	readonly units: number;
	/** Parts of tokens that go with a rate; 0 for a count. */
	readonly parts: number;
};

/** What this host holds of one budget. */
export abstract class Holding {
	readonly demand = new Demand();
	/** Units lent to other hosts. */
	lent = 0;
	/** Units borrowed from other hosts. */
	borrowed = 0;

	abstract get spec(): BudgetSpec;

	/** Units of the whole budget. */
	abstract get wholeUnits(): number;

	/** Changes the size; false when the kind differs. */
	abstract setSpec(spec: BudgetSpec, now: Milliseconds): boolean;

	abstract take(amount: number, now: Milliseconds): TakeResult;

	abstract giveBack(
		amount: number,
		now: Milliseconds,
		takenAt: Milliseconds,
	): void;

	/** Whole tokens or slots that could be taken now. */
	abstract getAvailable(now: Milliseconds): number;

	/** Units at this host's disposal, in use or not. */
	abstract getUnits(now: Milliseconds): number;

	/** Units that may be lent or returned now. */
	abstract getFreeUnits(now: Milliseconds): number;

	/** Units of the root share that are not lent. */
	abstract getRootUnits(now: Milliseconds): number;

	/** Whether what is lent and in use fits into a smaller root share. */
	abstract hasRoomIn(kept: readonly KeptPart[]): boolean;

	/** Debits a slice with this many units, at most. */
	abstract removeSlice(
		units: number,
		wantedAmount: number | undefined,
		now: Milliseconds,
	): Omit<Slice, 'budgetId'>;

	/** Notes that units were lent (or come back, when negative). */
	abstract addLent(units: number, now: Milliseconds): void;

	abstract addBorrowed(units: number, now: Milliseconds): void;

	abstract addParts(parts: number, now: Milliseconds): void;

	/** Takes units back whose borrower's right has ended. */
	abstract reclaim(units: number, now: Milliseconds): void;
}

/** The interval that is left of a root share. */
export type KeptPart = {readonly from: number; readonly to: number};
