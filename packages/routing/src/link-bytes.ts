import {toLinkBudgetId} from '@parsleyvale/kernel';
import type {RegionName} from '@parsleyvale/shared';
import type {BudgetAmount} from './budget-amounts.js';

/** Bytes reserved for a request body of unknown length. */
const defaultBodyBytes = 16 * 1024;
/** Bytes reserved for a response. */
const reservedResponseBytes = 16 * 1024;
/**
 * Maximum number of bytes that one request takes from a link budget. A larger
 * amount might never fit into the burst of the link; later requests take the rest.
 */
const maximumBytesPerTake = 256 * 1024;

/** Source region, target region and body size of a request. */
export type LinkTransfer = {
	readonly from: RegionName;
	readonly to: RegionName;
	readonly bodyBytes: number | undefined;
};

/**
 * Computes the bytes that requests take from link budgets, and counts the untaken
 * bytes of each budget, which were transferred but not taken from it yet.
 */
export class LinkBytes {
	readonly #untakenBytes = new Map<string, number>();

	/** Computes the amounts that a request must take, including untaken bytes. */
	computeAmounts(transfer: LinkTransfer): BudgetAmount[] {
		if (transfer.from === transfer.to) {
			return [];
		}

		return listTransferAmounts(transfer).map(({budgetId, amount}) => ({
			budgetId,
			amount: Math.min(
				maximumBytesPerTake,
				amount + this.#getUntakenBytes(budgetId),
			),
		}));
	}

	/** Adds the difference between required and taken amounts to the untaken bytes. */
	onTaken(transfer: LinkTransfer, amounts: readonly BudgetAmount[]): void {
		for (const required of listTransferAmounts(transfer)) {
			const taken = amounts.find(
				({budgetId}) => budgetId === required.budgetId,
			);
			if (taken !== undefined) {
				this.#addUntakenBytes(
					required.budgetId,
					required.amount - taken.amount,
				);
			}
		}
	}

	/** Adds transferred bytes beyond the reserved amounts to the untaken bytes. */
	onEnded(transfer: LinkTransfer, bytes: number): void {
		if (transfer.from === transfer.to) {
			return;
		}

		const body = transfer.bodyBytes ?? defaultBodyBytes;
		const excess = bytes - body - reservedResponseBytes;
		const isUpload = transfer.bodyBytes === undefined;
		if (excess > 0) {
			this.#addUntakenBytes(
				isUpload
					? toLinkBudgetId(transfer.from, transfer.to)
					: toLinkBudgetId(transfer.to, transfer.from),
				excess,
			);
		}
	}

	#getUntakenBytes(budgetId: string): number {
		return this.#untakenBytes.get(budgetId) ?? 0;
	}

	#addUntakenBytes(budgetId: string, amount: number): void {
		this.#untakenBytes.set(
			budgetId,
			Math.max(0, this.#getUntakenBytes(budgetId) + amount),
		);
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
