import {toLinkBudgetId} from '@parsleyvale/kernel';
import type {RegionName} from '@parsleyvale/shared';
import type {BudgetAmount} from './holds.js';

/** Bytes. Reserved for a body whose length the caller did not say. */
const unknownBodyBytes = 16 * 1024;
/** Bytes. Reserved for an answer. */
const answerBytes = 16 * 1024;

/** What goes over the links between two regions for one request. */
export class LinkBytes {
	/** Bytes that went over a link beyond what was reserved. */
	readonly #debts = new Map<string, number>();

	/** What the request has to reserve, earlier excess included. */
	toAmounts(
		from: RegionName,
		to: RegionName,
		bodyBytes: number | undefined,
	): BudgetAmount[] {
		if (from === to) {
			return [];
		}

		const there = toLinkBudgetId(from, to);
		const back = toLinkBudgetId(to, from);
		const body = bodyBytes ?? unknownBodyBytes;
		return [
			{budgetId: there, amount: Math.max(1, body)},
			{budgetId: back, amount: answerBytes + (this.#debts.get(back) ?? 0)},
		];
	}

	/** The amounts were taken: the excess is paid. */
	onTaken(amounts: readonly BudgetAmount[]): void {
		for (const {budgetId} of amounts) {
			this.#debts.delete(budgetId);
		}
	}

	/** Remembers what an attempt moved beyond its reservation. */
	onEnded(
		from: RegionName,
		to: RegionName,
		bodyBytes: number | undefined,
		bytes: number,
	): void {
		if (from === to) {
			return;
		}

		const reserved = (bodyBytes ?? unknownBodyBytes) + answerBytes;
		const excess = bytes - reserved;
		if (excess > 0) {
			const back = toLinkBudgetId(to, from);
			this.#debts.set(back, (this.#debts.get(back) ?? 0) + excess);
		}
	}
}
