import type {BudgetSpec} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {CountHolding} from './count-holding.js';
import type {Group} from './group.js';
import type {Holding, KeptPart} from './holding.js';
import {RateHolding} from './rate-holding.js';
import type {Safeguards} from './safeguards.js';
import {RootShare} from './root-share.js';

/** Name of the group of the budgets that all hosts hold. */
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

/** Every budget by its id; a holding exists once it has been touched. */
export class Holdings {
	readonly #safeguards: Safeguards;
	readonly #groups: ReadonlyMap<string, Group>;
	readonly #definitions = new Map<string, Definition>();
	readonly #holdings = new Map<string, Holding>();
	/** For budgets of groups that this host has no root share in. */
	readonly #noRoot: RootShare;

	constructor(safeguards: Safeguards, groups: ReadonlyMap<string, Group>) {
		this.#safeguards = safeguards;
		this.#groups = groups;
		this.#noRoot = new RootShare(safeguards);
	}

	get size(): number {
		return this.#holdings.size;
	}

	define(spec: BudgetSpec, now: Milliseconds): void {
		const known = this.#definitions.get(spec.id);
		this.#definitions.set(spec.id, {spec, definedAt: known?.definedAt ?? now});
		const holding = this.#holdings.get(spec.id);
		if (holding !== undefined && !holding.setSpec(spec, now)) {
			// A budget of another kind starts anew, with nothing.
			this.#holdings.delete(spec.id);
			this.#definitions.set(spec.id, {spec, definedAt: now});
		}
	}

	/**
	 * Forgets a budget. What is lent, borrowed or in use stays in the books,
	 * so that it counts when the budget is defined again.
	 */
	remove(budgetId: string): void {
		this.#definitions.delete(budgetId);
	}

	/** The holding of a defined budget, made at the first use. */
	find(budgetId: string): Holding | undefined {
		const holding = this.#holdings.get(budgetId);
		const definition = this.#definitions.get(budgetId);
		if (holding !== undefined || definition === undefined) {
			return definition === undefined ? undefined : holding;
		}

		const created = this.#create(definition);
		this.#holdings.set(budgetId, created);
		return created;
	}

	/** Also finds what is left of a removed budget. */
	findKept(budgetId: string): Holding | undefined {
		return this.find(budgetId) ?? this.#holdings.get(budgetId);
	}

	list(): IterableIterator<Holding> {
		return this.#holdings.values();
	}

	listOf(group: string): Holding[] {
		return [...this.#holdings.values()].filter(
			(holding) => toGroupName(holding.spec) === group,
		);
	}

	hasRoomIn(group: string, kept: readonly KeptPart[]): boolean {
		return this.listOf(group).every((holding) => holding.hasRoomIn(kept));
	}

	getLongestHold(group: string): Milliseconds {
		let longest = 0;
		for (const {spec} of this.#definitions.values()) {
			if (spec.kind === 'count' && toGroupName(spec) === group) {
				longest = Math.max(longest, spec.longestHold);
			}
		}

		return longest;
	}

	#create({spec, definedAt}: Definition): Holding {
		const group = this.#groups.get(toGroupName(spec));
		const root = group?.root ?? this.#noRoot;
		return spec.kind === 'rate'
			? new RateHolding(spec, root, this.#safeguards, definedAt)
			: new CountHolding(spec, root, this.#safeguards);
	}
}
