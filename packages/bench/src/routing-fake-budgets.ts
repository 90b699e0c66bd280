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

/** How long a share takes from one host to another. */
const lendDelay: Milliseconds = 5;

type Rate = {
	readonly perSecond: number;
	readonly burst: number;
	tokens: number;
	filledAt: Milliseconds;
};

type WantListener = (budgetId: string) => void;

/** Counts of the whole fleet in one place; of rates, only those of shifts. */
export class FakeBudgets {
	readonly #clock: VirtualClock;
	readonly #rates = new Map<string, Rate>();
	readonly #totals = new Map<string, number>();
	readonly #inUse = new Map<string, number>();
	readonly #wanting = new Map<string, Set<WantListener>>();

	constructor(clock: VirtualClock) {
		this.#clock = clock;
	}

	/** Defines a token bucket, full at first. */
	setRate(budgetId: string, perSecond: number, burst: number): void {
		if (!this.#rates.has(budgetId)) {
			const filledAt = this.#clock.now;
			this.#rates.set(budgetId, {perSecond, burst, tokens: burst, filledAt});
		}
	}

	/** Takes from a token bucket; a rate that is not defined has no bound. */
	takeRate(budgetId: string, amount: number): boolean {
		const rate = this.#rates.get(budgetId);
		if (rate === undefined) {
			return true;
		}

		const passed = (this.#clock.now - rate.filledAt) / second;
		rate.tokens = Math.min(rate.burst, rate.tokens + passed * rate.perSecond);
		rate.filledAt = this.#clock.now;
		const isEnough = rate.tokens >= amount;
		rate.tokens -= isEnough ? amount : 0;
		return isEnough;
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

	add(budgetId: string, amount: number): void {
		this.#inUse.set(budgetId, (this.#inUse.get(budgetId) ?? 0) + amount);
		if (amount < 0) {
			this.#lendNext(budgetId);
		}
	}

	addWanting(budgetId: string, listener: WantListener): void {
		const wanting = this.#wanting.get(budgetId) ?? new Set();
		wanting.add(listener);
		this.#wanting.set(budgetId, wanting);
	}

	/** Tells the host that has wanted for longest. */
	#lendNext(budgetId: string): void {
		const wanting = this.#wanting.get(budgetId);
		const [listener] = wanting ?? [];
		if (listener === undefined) {
			return;
		}

		wanting?.delete(listener);
		this.#clock.start(lendDelay, () => {
			listener(budgetId);
		});
	}
}

/** One host's view of the fleet's budgets. */
class HostBudgets extends Budgets {
	readonly #shared: FakeBudgets;
	readonly #onLent: WantListener;

	constructor(shared: FakeBudgets, onLent: WantListener) {
		super();
		this.#shared = shared;
		this.#onLent = onLent;
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

		this.#shared.add(budgetId, amount);
		return 'taken';
	}

	release(budgetId: string, amount: number): void {
		if (this.#shared.hasTotal(budgetId)) {
			this.#shared.add(budgetId, -amount);
		}
	}

	requestLoan(budgetId: string): void {
		this.#shared.addWanting(budgetId, this.#onLent);
	}

	getAvailable(budgetId: string): number {
		return this.#shared.getAvailable(budgetId);
	}
}

export class FakeBudgetsPlugin extends Plugin {
	readonly #shared: FakeBudgets;
	readonly #onLent: WantListener;

	constructor(shared: FakeBudgets, onLent: WantListener) {
		super();
		this.#shared = shared;
		this.#onLent = onLent;
	}

	get name(): string {
		return 'fake-budgets';
	}

	install(kernel: Kernel): void {
		kernel.provide(budgetsKey, new HostBudgets(this.#shared, this.#onLent));
		kernel.on('configuration-changed', (event) => {
			this.#defineShifts(event.current.configuration);
		});
	}

	#defineShifts(configuration: Configuration): void {
		for (const {name, capPerSecond, capBurst} of configuration.shifts) {
			this.#shared.setRate(toShiftBudgetId(name), capPerSecond, capBurst);
		}
	}
}
