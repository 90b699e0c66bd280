import type {BudgetSpec, TakeResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Demand} from './demand.js';

/** A part of one budget that is transferred between hosts. */
export type Slice = {
	readonly budgetId: string;
	/** Share units of a rate budget, or slots of a count budget. */
	readonly units: number;
	/** Token parts transferred with a rate budget; 0 for a count budget. */
	readonly parts: number;
};

/** The part of one budget that this host holds. */
export abstract class Holding {
	readonly demand = new Demand();
	/** Units lent to other hosts. */
	lentUnits = 0;
	/** Units borrowed from other hosts. */
	borrowedUnits = 0;

	abstract get spec(): BudgetSpec;

	/** Number of units in the whole budget. */
	abstract get totalUnits(): number;

	/** Changes the size of the budget; returns false if its kind differs. */
	abstract setSpec(spec: BudgetSpec, now: Milliseconds): boolean;

	abstract take(amount: number, now: Milliseconds): TakeResult;

	abstract release(
		amount: number,
		now: Milliseconds,
		takenAt: Milliseconds,
	): void;

	/** Returns the whole tokens or slots that can be taken now. */
	abstract getAvailableAmount(now: Milliseconds): number;

	/**
	 * Returns the units that this host may use, including those in use: its root
	 * share and what it has borrowed, without what it has lent.
	 */
	abstract getHeldUnits(now: Milliseconds): number;

	/** Returns the held units that can be lent or returned now. */
	abstract getTransferableUnits(now: Milliseconds): number;

	/** Returns the units of the root share that are not lent. */
	abstract getUnlentRootUnits(now: Milliseconds): number;

	/** Whether the units lent and in use fit into the remaining root share. */
	abstract fitsWithin(remaining: readonly RemainingRange[]): boolean;

	/** Debits the token parts that go with a slice of `units`. */
	abstract debitSlice(
		units: number,
		requestedTokens: number | undefined,
		now: Milliseconds,
	): Omit<Slice, 'budgetId'>;

	/** Records units as lent, or as returned if negative. */
	abstract addLent(units: number, now: Milliseconds): void;

	abstract addBorrowed(units: number, now: Milliseconds): void;

	abstract addParts(parts: number, now: Milliseconds): void;

	/** Takes back units of a loan that has expired. */
	abstract reclaim(units: number, now: Milliseconds): void;
}

/** A range that remains of a root share. */
export type RemainingRange = {readonly from: number; readonly to: number};
