import {
	Budgets,
	Plugin,
	budgetsKey,
	toShiftBudgetId,
	type BudgetSpec,
	type Kernel,
	type TakeResult,
} from '@parsleyvale/kernel';
import {
	second,
	type Configuration,
	type Milliseconds,
} from '@parsleyvale/shared';
import type {VirtualClock} from './routing-virtual-clock.js';

/** Delay until a loan from another host arrives. */
const loanDelay: Milliseconds = 5;

type Rate = {
	readonly perSecond: number;
	readonly burst: number;
	tokens: number;
	refilledAt: Milliseconds;
};

type LoanListener = (budgetId: string) => void;

/** Fleet-wide budgets without distribution; only the rates of shifts are limited. */
export class FakeBudgets {
	readonly #clock: VirtualClock;
	readonly #rates = new Map<string, Rate>();
	readonly #totals = new Map<string, number>();
	readonly #inUse = new Map<string, number>();
	readonly #borrowers = new Map<string, Set<LoanListener>>();

	constructor(clock: VirtualClock) {
		this.#clock = clock;
	}

	/** Defines a token bucket that starts full. */
	defineRate(budgetId: string, perSecond: number, burst: number): void {
		if (!this.#rates.has(budgetId)) {
			const refilledAt = this.#clock.now;
			this.#rates.set(budgetId, {perSecond, burst, tokens: burst, refilledAt});
		}
	}

	/** Takes tokens from a bucket; an undefined rate is unlimited. */
	takeRate(budgetId: string, amount: number): boolean {
		const rate = this.#rates.get(budgetId);
		if (rate === undefined) {
			return true;
		}

		const elapsedSeconds = (this.#clock.now - rate.refilledAt) / second;
		rate.tokens = Math.min(
			rate.burst,
			rate.tokens + elapsedSeconds * rate.perSecond,
		);
		rate.refilledAt = this.#clock.now;
		const hasEnoughTokens = rate.tokens >= amount;
		rate.tokens -= hasEnoughTokens ? amount : 0;
		return hasEnoughTokens;
	}

	setTotal(budgetId: string, total: number): void {
		this.#totals.set(budgetId, total);
	}

	hasTotal(budgetId: string): boolean {
		return this.#totals.has(budgetId);
	}

	getAvailable(budgetId: string): number {
		const total = this.#totals.get(budgetId) ?? 0;
		return Math.max(0, total - (this.#inUse.get(budgetId) ?? 0));
	}

	addInUse(budgetId: string, amount: number): void {
		this.#inUse.set(budgetId, (this.#inUse.get(budgetId) ?? 0) + amount);
		if (amount < 0) {
			this.#notifyNextBorrower(budgetId);
		}
	}

	addBorrower(budgetId: string, listener: LoanListener): void {
		const borrowers = this.#borrowers.get(budgetId) ?? new Set();
		borrowers.add(listener);
		this.#borrowers.set(budgetId, borrowers);
	}

	/** Notifies the host that has waited longest for a loan. */
	#notifyNextBorrower(budgetId: string): void {
		const borrowers = this.#borrowers.get(budgetId);
		const [listener] = borrowers ?? [];
		if (listener === undefined) {
			return;
		}

		borrowers?.delete(listener);
		this.#clock.schedule(loanDelay, () => {
			listener(budgetId);
		});
	}
}

/** One host's view of the fleet's budgets. */
class HostBudgets extends Budgets {
	readonly #shared: FakeBudgets;
	readonly #onLoan: LoanListener;

	constructor(shared: FakeBudgets, onLoan: LoanListener) {
		super();
		this.#shared = shared;
		this.#onLoan = onLoan;
	}

	define(spec: BudgetSpec): void {
		if (spec.kind === 'count') {
			this.#shared.setTotal(spec.id, spec.total);
		}
	}

	remove(budgetId: string): void {
		this.#shared.setTotal(budgetId, 0);
	}

	take(budgetId: string, amount: number): TakeResult {
		if (!this.#shared.hasTotal(budgetId)) {
			return this.#shared.takeRate(budgetId, amount)
				? 'taken'
				: 'share-used-up';
		}

		if (this.#shared.getAvailable(budgetId) < amount) {
			return 'share-used-up';
		}

		this.#shared.addInUse(budgetId, amount);
		return 'taken';
	}

	release(budgetId: string, amount: number): void {
		if (this.#shared.hasTotal(budgetId)) {
			this.#shared.addInUse(budgetId, -amount);
		}
	}

	requestLoan(budgetId: string): void {
		this.#shared.addBorrower(budgetId, this.#onLoan);
	}

	getAvailable(budgetId: string): number {
		return this.#shared.getAvailable(budgetId);
	}
}

export class FakeBudgetsPlugin extends Plugin {
	readonly #shared: FakeBudgets;
	readonly #onLoan: LoanListener;

	constructor(shared: FakeBudgets, onLoan: LoanListener) {
		super();
		this.#shared = shared;
		this.#onLoan = onLoan;
	}

	get name(): string {
		return 'fake-budgets';
	}

	install(kernel: Kernel): void {
		kernel.provide(budgetsKey, new HostBudgets(this.#shared, this.#onLoan));
		kernel.on('configuration-changed', (event) => {
			this.#defineShifts(event.current.configuration);
		});
	}

	#defineShifts(configuration: Configuration): void {
		for (const {name, capPerSecond, capBurst} of configuration.shifts) {
			this.#shared.defineRate(toShiftBudgetId(name), capPerSecond, capBurst);
		}
	}
}
