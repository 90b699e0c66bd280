import {Plugin, budgetsKey, type Kernel} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {DistributedBudgets} from './distributed-budgets.js';
import {allSafeguards, type Safeguards} from './safeguards.js';

export type BudgetsOptions = {
	/** @internal Tests disable single safeguards. */
	readonly safeguards?: Partial<Safeguards>;
	/** @internal If false, each host keeps its static share. */
	readonly isLending?: boolean;
};

class BudgetsPlugin extends Plugin {
	readonly #safeguards: Safeguards;
	readonly #isLending: boolean;
	#budgets: DistributedBudgets | undefined;

	constructor(safeguards: Safeguards, isLending: boolean) {
		super();
		this.#safeguards = safeguards;
		this.#isLending = isLending;
	}

	get name(): string {
		return 'budgets';
	}

	override isBusy(now: Milliseconds): boolean {
		return this.#budgets?.isBusy(now) ?? false;
	}

	install(kernel: Kernel): void {
		const budgets = new DistributedBudgets(
			kernel,
			this.#safeguards,
			this.#isLending,
		);
		this.#budgets = budgets;
		kernel.provide(budgetsKey, budgets);
		kernel.on('configuration-changed', ({current}, context) => {
			budgets.onConfiguration(current.configuration, context);
		});
		kernel.on('members-changed', ({members}, {now}) => {
			budgets.onMembers(members, now);
		});
		kernel.on('peer-message', (event, context) => {
			budgets.onMessage(event, context);
		});
		kernel.on('object-read', (event, context) => {
			budgets.onRead(event, context);
		});
		kernel.on('object-written', (event, context) => {
			budgets.onWritten(event, context);
		});
		kernel.on('object-changed', ({object}, context) => {
			budgets.onObject(object, context);
		});
		kernel.on('tick', (_event, context) => {
			budgets.onTick(context);
		});
		kernel.on('intake-closed', (_event, {now}) => {
			budgets.onStop(now);
		});
	}
}

/**
 * Creates the plug-in for budgets that limit sums over all entry hosts and are
 * divided into shares. Install it before the plug-ins that take from them.
 *
 * @example
 * const kernel = createKernel({self, random}).use(createBudgets());
 * const budgets = kernel.inject(budgetsKey);
 * budgets.take(toCustomerBudgetId('hanlin'), 1, clock.now()); // 'taken'
 */
export function createBudgets(options: BudgetsOptions = {}): Plugin {
	const safeguards = {...allSafeguards, ...options.safeguards};
	return new BudgetsPlugin(safeguards, options.isLending ?? true);
}
