import type {BudgetSpec} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {CountHolding} from './count-holding.js';
import type {BudgetGroup} from './group.js';
import type {Holding, RemainingRange} from './holding.js';
import {RateHolding} from './rate-holding.js';
import type {Safeguards} from './safeguards.js';
import {RootShares} from './root-shares.js';

/** Group of the budgets that are shared by all hosts. */
export const fleetGroup = 'fleet';

export function toRegionGroup(region: string): string {
	return `region/${region}`;
}

function toGroupName(spec: BudgetSpec): string {
	return spec.kind === 'count' && spec.region !== undefined
		? toRegionGroup(spec.region)
		: fleetGroup;
}

type Definition = {
	readonly spec: BudgetSpec;
	readonly definedAt: Milliseconds;
};

/** Budgets by id. The holding of a budget is created when it is first used. */
export class Holdings {
	readonly #safeguards: Safeguards;
	readonly #groups: ReadonlyMap<string, BudgetGroup>;
	readonly #definitions = new Map<string, Definition>();
	readonly #holdings = new Map<string, Holding>();
	/** Used for budgets of groups in which this host has no root share. */
	readonly #emptyRootShares: RootShares;

	constructor(
		safeguards: Safeguards,
		groups: ReadonlyMap<string, BudgetGroup>,
	) {
		this.#safeguards = safeguards;
		this.#groups = groups;
		this.#emptyRootShares = new RootShares(safeguards);
	}

	get size(): number {
		return this.#holdings.size;
	}

	define(spec: BudgetSpec, now: Milliseconds): void {
		const previous = this.#definitions.get(spec.id);
		this.#definitions.set(spec.id, {
			spec,
			definedAt: previous?.definedAt ?? now,
		});
		const holding = this.#holdings.get(spec.id);
		if (holding !== undefined && !holding.setSpec(spec, now)) {
			// A budget that changes its kind starts empty.
			this.#holdings.delete(spec.id);
			this.#definitions.set(spec.id, {spec, definedAt: now});
		}
	}

	/**
	 * Removes the definition of a budget. Its holding is kept, so that units
	 * lent, borrowed or in use still count when the budget is defined again.
	 */
	remove(budgetId: string): void {
		this.#definitions.delete(budgetId);
	}

	/** Finds the holding of a defined budget; creates it at its first use. */
	findBudget(budgetId: string): Holding | undefined {
		const holding = this.#holdings.get(budgetId);
		const definition = this.#definitions.get(budgetId);
		if (holding !== undefined || definition === undefined) {
			return definition === undefined ? undefined : holding;
		}

		const created = this.#create(definition);
		this.#holdings.set(budgetId, created);
		return created;
	}

	/** Like `findBudget`, but also finds the holding of a removed budget. */
	findIncludingRemoved(budgetId: string): Holding | undefined {
		return this.findBudget(budgetId) ?? this.#holdings.get(budgetId);
	}

	list(): IterableIterator<Holding> {
		return this.#holdings.values();
	}

	listByGroup(group: string): Holding[] {
		return [...this.#holdings.values()].filter(
			(holding) => toGroupName(holding.spec) === group,
		);
	}

	fitsWithin(group: string, remaining: readonly RemainingRange[]): boolean {
		return this.listByGroup(group).every((holding) =>
			holding.fitsWithin(remaining),
		);
	}

	getLongestHold(group: string): Milliseconds {
		let longest = 0;
		for (const {spec} of this.#definitions.values()) {
			if (spec.kind === 'count' && toGroupName(spec) === group) {
				longest = Math.max(longest, spec.maxHoldDuration);
			}
		}

		return longest;
	}

	#create({spec, definedAt}: Definition): Holding {
		const group = this.#groups.get(toGroupName(spec));
		const rootShares = group?.rootShares ?? this.#emptyRootShares;
		return spec.kind === 'rate'
			? new RateHolding(spec, rootShares, this.#safeguards, definedAt)
			: new CountHolding(spec, rootShares, this.#safeguards);
	}
}
