import {
	Budgets,
	Plugin,
	budgetsKey,
	toLinkBudgetId,
	toShiftBudgetId,
	type BudgetSpec,
	type Kernel,
	type TakeResult,
} from '@parsleyvale/kernel';
import type {Configuration, Milliseconds} from '@parsleyvale/shared';

type Bucket = {
	spec: BudgetSpec;
	tokens: number;
	filledAt: Milliseconds;
	inUse: number;
};

/**
 * In-memory budgets shared by all hosts of a test fleet, without shares or
 * loans.
 */
export class CountingBudgets extends Budgets {
	readonly loanRequests: string[] = [];
	readonly #buckets = new Map<string, Bucket>();

	define(spec: BudgetSpec): void {
		const bucket = this.#buckets.get(spec.id);
		if (bucket === undefined) {
			const tokens = spec.kind === 'rate' ? spec.burst : 0;
			this.#buckets.set(spec.id, {spec, tokens, filledAt: 0, inUse: 0});
		} else {
			bucket.spec = spec;
		}
	}

	remove(budgetId: string): void {
		this.#buckets.delete(budgetId);
	}

	take(budgetId: string, amount: number, now: Milliseconds): TakeResult {
		const bucket = this.#buckets.get(budgetId);
		if (bucket === undefined) {
			return 'unknown-budget';
		}

		if (amount > getSize(bucket.spec)) {
			return 'too-large';
		}

		if (this.getAvailable(budgetId, now) < amount) {
			return 'share-used-up';
		}

		bucket.tokens -= amount;
		bucket.inUse += amount;
		return 'taken';
	}

	release(budgetId: string, amount: number): void {
		const bucket = this.#buckets.get(budgetId);
		if (bucket !== undefined) {
			bucket.tokens += amount;
			bucket.inUse -= amount;
		}
	}

	requestLoan(budgetId: string): void {
		this.loanRequests.push(budgetId);
	}

	getAvailable(budgetId: string, now: Milliseconds): number {
		const bucket = this.#buckets.get(budgetId);
		if (bucket === undefined) {
			return 0;
		}

		const {spec} = bucket;
		if (spec.kind === 'count') {
			return Math.max(0, spec.total - bucket.inUse);
		}

		const elapsedSeconds = (now - bucket.filledAt) / 1000;
		bucket.tokens = Math.min(
			spec.burst,
			bucket.tokens + elapsedSeconds * spec.perSecond,
		);
		bucket.filledAt = now;
		return bucket.tokens;
	}

	getInUse(budgetId: string): number {
		return this.#buckets.get(budgetId)?.inUse ?? 0;
	}

	getTotal(budgetId: string): number {
		const spec = this.#buckets.get(budgetId)?.spec;
		return spec === undefined ? 0 : getSize(spec);
	}

	/**
	 * Defines the budgets that the budgets plug-in derives from the
	 * configuration.
	 */
	defineConfigured(configuration: Configuration): void {
		for (const shift of configuration.shifts) {
			this.define({
				kind: 'rate',
				id: toShiftBudgetId(shift.name),
				perSecond: shift.capPerSecond,
				burst: shift.capBurst,
			});
		}

		for (const link of configuration.links) {
			const [one, other] = link.between;
			for (const id of [
				toLinkBudgetId(one, other),
				toLinkBudgetId(other, one),
			]) {
				this.define({
					kind: 'rate',
					id,
					perSecond: link.bytesPerSecond,
					burst: link.bytesPerSecond,
				});
			}
		}
	}
}

/** Provides the in-memory budgets to the plug-in under test. */
export class CountingBudgetsPlugin extends Plugin {
	readonly budgets: CountingBudgets;

	constructor(budgets: CountingBudgets) {
		super();
		this.budgets = budgets;
	}

	get name(): string {
		return 'counting-budgets';
	}

	install(kernel: Kernel): void {
		kernel.provide(budgetsKey, this.budgets);
		kernel.on('configuration-changed', (event) => {
			this.budgets.defineConfigured(event.current.configuration);
		});
	}
}

function getSize(spec: BudgetSpec): number {
	return spec.kind === 'count' ? spec.total : spec.burst;
}
