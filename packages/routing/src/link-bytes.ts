import {toLinkBudgetId} from '@parsleyvale/kernel';
import type {RegionName} from '@parsleyvale/shared';
import type {BudgetAmount} from './holds.js';

/** Bytes. Reserved for a body whose length the caller did not say. */
const unknownBodyBytes = 16 * 1024;
/** Bytes. Reserved for an answer. */
const answerBytes = 16 * 1024;
/**
 * Bytes. The most that one request takes from a link at once; a larger amount
 * might never fit into the link's burst. The rest is owed.
 */
const mostAtOnce = 256 * 1024;

/** The two regions that a request goes between, and its body. */
export type LinkUse = {
	readonly from: RegionName;
	readonly to: RegionName;
	readonly bodyBytes: number | undefined;
};

/** What goes over the links between regions, and what is owed to them. */
export class LinkBytes {
	readonly #debts = new Map<string, number>();

	/** What the request has to take now, a part of earlier debts included. */
	toAmounts(use: LinkUse): BudgetAmount[] {
		if (use.from === use.to) {
			return [];
		}

		return listNeeds(use).map(({budgetId, amount}) => ({
			budgetId,
			amount: Math.min(mostAtOnce, amount + this.#getDebt(budgetId)),
		}));
	}

	/** The amounts were taken: what they do not cover is owed. */
	onTaken(use: LinkUse, amounts: readonly BudgetAmount[]): void {
		for (const need of listNeeds(use)) {
			const taken = amounts.find(({budgetId}) => budgetId === need.budgetId);
			if (taken !== undefined) {
				this.#addDebt(need.budgetId, need.amount - taken.amount);
			}
		}
	}

	/** An attempt moved so many bytes; those not foreseen are owed. */
	onEnded(use: LinkUse, bytes: number): void {
		if (use.from === use.to) {
			return;
		}

		const body = use.bodyBytes ?? unknownBodyBytes;
		const excess = bytes - body - answerBytes;
		const isUpload = use.bodyBytes === undefined;
		if (excess > 0) {
			this.#addDebt(
				isUpload
					? toLinkBudgetId(use.from, use.to)
					: toLinkBudgetId(use.to, use.from),
				excess,
			);
		}
	}

	#getDebt(budgetId: string): number {
		return this.#debts.get(budgetId) ?? 0;
	}

	#addDebt(budgetId: string, amount: number): void {
		this.#debts.set(budgetId, Math.max(0, this.#getDebt(budgetId) + amount));
	}
}

function listNeeds(use: LinkUse): BudgetAmount[] {
	return [
		{
			budgetId: toLinkBudgetId(use.from, use.to),
			amount: Math.max(1, use.bodyBytes ?? unknownBodyBytes),
		},
		{budgetId: toLinkBudgetId(use.to, use.from), amount: answerBytes},
	];
}
