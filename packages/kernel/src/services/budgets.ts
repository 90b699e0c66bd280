import type {Milliseconds} from '@parsleyvale/shared';
import type {Context} from '../context.js';
import {createServiceKey} from '../service-key.js';

/**
 * A fleet-wide limit. A rate refills over time; a count is available again when
 * the work for which it was taken ends.
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
			/** Longest time for which an amount may be held. */
			readonly maxHoldDuration: Milliseconds;
			/** Region whose hosts hold the shares; undefined means all hosts. */
			readonly region: string | undefined;
	  };

export type TakeResult =
	| 'taken'
	/** This host's share is exhausted; other hosts may have some left. */
	| 'share-used-up'
	/** The amount exceeds the size of the whole budget. */
	| 'too-large'
	| 'unknown-budget';

/** Fleet-wide limits, split into shares that hosts hold in escrow. */
export abstract class Budgets {
	/** Whether this host has its own share of the rate budgets. */
	hasShare(_now: Milliseconds): boolean {
		return true;
	}

	/** Defines a budget or resizes it. */
	abstract define(spec: BudgetSpec, context: Context): void;

	abstract remove(budgetId: string, context: Context): void;

	/**
	 * Takes the whole amount or nothing from this host's share. Contacts no other
	 * host.
	 */
	abstract take(
		budgetId: string,
		amount: number,
		now: Milliseconds,
	): TakeResult;

	/**
	 * Undoes a take: releases an amount of a count budget, or refunds tokens of a
	 * rate budget. Tokens may be refunded only if no server can have run the
	 * request. Nothing is refunded if the bucket was full at any time since
	 * `takenAt`, because it has refilled the taken tokens by then.
	 */
	abstract release(
		budgetId: string,
		amount: number,
		now: Milliseconds,
		takenAt: Milliseconds,
	): void;

	/**
	 * Requests loans from other hosts so that `amount` can be taken. Raises
	 * `budget-changed` when a loan arrives.
	 */
	abstract requestLoan(
		budgetId: string,
		amount: number,
		context: Context,
	): void;

	/** Returns the amount that can be taken now. */
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
