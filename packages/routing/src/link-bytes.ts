import {toLinkBudgetId} from '@parsleyvale/kernel';
import type {RegionName} from '@parsleyvale/shared';
import type {BudgetAmount} from './budget-amounts.js';

/** Bytes reserved for a request body of unknown length. */
const defaultBodyBytes = 16 * 1024;
/** Bytes reserved for a response. */
const reservedResponseBytes = 16 * 1024;
/**
 * Maximum number of bytes that one request takes from a link budget. A larger
 * amount might never fit into the burst of the link; the rest becomes debt.
 */
const maximumBytesPerTake = 256 * 1024;

/** Source region, target region and body size of a request. */
export type LinkTransfer = {
	readonly from: RegionName;
	readonly to: RegionName;
	readonly bodyBytes: number | undefined;
};

/**
 * Computes the bytes that requests take from link budgets, and tracks debts:
 * bytes that were transferred but not yet taken from a budget.
 */
export class LinkBytes {
	readonly #debts = new Map<string, number>();

	/** Computes the amounts that a request must take, including earlier debts. */
	computeAmounts(transfer: LinkTransfer): BudgetAmount[] {
		if (transfer.from === transfer.to) {
			return [];
		}

		return listTransferAmounts(transfer).map(({budgetId, amount}) => ({
			budgetId,
			amount: Math.min(maximumBytesPerTake, amount + this.#getDebt(budgetId)),
		}));
	}

	/** Records the difference between required and taken amounts as debt. */
	onTaken(transfer: LinkTransfer, amounts: readonly BudgetAmount[]): void {
		for (const required of listTransferAmounts(transfer)) {
			const taken = amounts.find(
				({budgetId}) => budgetId === required.budgetId,
			);
			if (taken !== undefined) {
				this.#addDebt(required.budgetId, required.amount - taken.amount);
			}
		}
	}

	/** Records transferred bytes beyond the reserved amounts as debt. */
	onEnded(transfer: LinkTransfer, bytes: number): void {
		if (transfer.from === transfer.to) {
			return;
		}

		const body = transfer.bodyBytes ?? defaultBodyBytes;
		const excess = bytes - body - reservedResponseBytes;
		const isUpload = transfer.bodyBytes === undefined;
		if (excess > 0) {
			this.#addDebt(
				isUpload
					? toLinkBudgetId(transfer.from, transfer.to)
					: toLinkBudgetId(transfer.to, transfer.from),
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

function listTransferAmounts(transfer: LinkTransfer): BudgetAmount[] {
	return [
		{
			budgetId: toLinkBudgetId(transfer.from, transfer.to),
			amount: Math.max(1, transfer.bodyBytes ?? defaultBodyBytes),
		},
		{
			budgetId: toLinkBudgetId(transfer.to, transfer.from),
			amount: reservedResponseBytes,
		},
	];
}
