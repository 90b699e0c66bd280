import type {Budgets, Context, TakeResult} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';

/** An amount of one budget. */
export type BudgetAmount = {
	readonly budgetId: string;
	readonly amount: number;
};

export type TakeAllResult =
	| {readonly kind: 'taken'}
	| {
			readonly kind: 'failed';
			readonly missingAmount: BudgetAmount;
			readonly reason: Exclude<TakeResult, 'taken'>;
	  };

/**
 * Takes all amounts or none. Asks other hosts to lend the amount that is
 * missing.
 */
export function takeAll(
	budgets: Budgets,
	amounts: readonly BudgetAmount[],
	context: Context,
): TakeAllResult {
	const taken: BudgetAmount[] = [];
	for (const requested of amounts) {
		const reason = budgets.take(
			requested.budgetId,
			requested.amount,
			context.now,
		);
		if (reason === 'taken') {
			taken.push(requested);
			continue;
		}

		releaseAll(budgets, taken, context.now);
		if (reason === 'share-used-up') {
			budgets.requestLoan(requested.budgetId, requested.amount, context);
		}

		return {kind: 'failed', missingAmount: requested, reason};
	}

	return {kind: 'taken'};
}

export function releaseAll(
	budgets: Budgets,
	amounts: readonly BudgetAmount[],
	now: Milliseconds,
): void {
	for (const {budgetId, amount} of amounts) {
		budgets.release(budgetId, amount, now, now);
	}
}
