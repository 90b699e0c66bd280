import type {Milliseconds} from '@parsleyvale/shared';
import type {Context} from '../context.js';
import {createServiceKey} from '../service-key.js';

/**
 * A bound on a sum over all hosts. A rate refills; a count comes back when
 * what it was taken for ends.
 */
export type BudgetSpec =
	| {
			readonly kind: 'rate';
			readonly id: string;
			readonly perSecond: number;
			readonly burst: number;
	  }
	| {
			readonly kind: 'count';
			readonly id: string;
			readonly total: number;
			/** Longest time for which an amount may be taken. */
			readonly maxHoldDuration: Milliseconds;
			/** Hosts of this region hold the shares; undefined: all hosts do. */
			readonly region: string | undefined;
	  };

export type TakeResult =
	| 'taken'
	/** This host's share is used up; others may hold more. */
	| 'share-used-up'
	/** More than the budget's whole size was asked for. */
	| 'too-large'
	| 'unknown-budget';

/** Bounds on sums over all hosts, held in escrow by shares. */
export abstract class Budgets {
	/** Whether this host holds a share of its own of the rates. */
	hasShare(_now: Milliseconds): boolean {
		return true;
	}

	/** Defines a budget or changes its size. */
	abstract define(spec: BudgetSpec, context: Context): void;

	abstract remove(budgetId: string, context: Context): void;

	/** Takes from this host's own share. A local decision, all or nothing. */
	abstract take(
		budgetId: string,
		amount: number,
		now: Milliseconds,
	): TakeResult;

	/**
	 * Undoes a take: gives a count back, and a rate only where nothing can
	 * have run. A rate that was full since `takenAt` gets nothing: the token
	 * that was missing then has been made up for.
	 */
	abstract giveBack(
		budgetId: string,
		amount: number,
		now: Milliseconds,
		takenAt: Milliseconds,
	): void;

	/**
	 * Asks other hosts to lend, so that `amount` can be taken. Raises
	 * `budget-changed` when something arrived.
	 */
	abstract requestLoan(
		budgetId: string,
		amount: number,
		context: Context,
	): void;

	/** What could be taken now. */
	abstract getAvailable(budgetId: string, now: Milliseconds): number;
}

export const budgetsKey = createServiceKey<Budgets>('budgets');

export function toCustomerBudgetId(customer: string): string {
	return `customer/${customer}`;
}

export function toRoomBudgetId(pool: string, region: string): string {
	return `room/${pool}/${region}`;
}

export function toShiftBudgetId(shift: string): string {
	return `shift/${shift}`;
}

export function toLinkBudgetId(from: string, to: string): string {
	return `link/${from}/${to}`;
}
