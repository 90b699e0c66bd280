import {createServiceKey} from '@parsleyvale/kernel';
import type {ColdPacer} from './cold-pacer.js';
import type {CustomerRates} from './customer-rates.js';
import type {RepeatBudget} from './repeat-budget.js';
import type {ServerOwners} from './server-owners.js';

/** Bounds on sums over all hosts. */
export type Limits = {
	readonly rates: CustomerRates;
	readonly repeats: RepeatBudget;
	readonly cold: ColdPacer;
	readonly owners: ServerOwners;
};

export const limitsKey = createServiceKey<Limits>('limits');
