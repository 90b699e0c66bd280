import {createServiceKey} from '@parsleyvale/kernel';
import type {ColdPacer} from './cold-pacer.js';
import type {CustomerRates} from './customer-rates.js';
import type {RetryBudget} from './repeat-budget.js';
import type {ServerOwners} from './server-owners.js';

/** Limits that apply to the fleet as a whole. */
export type Limits = {
	readonly rates: CustomerRates;
	readonly retries: RetryBudget;
	readonly coldPacer: ColdPacer;
	readonly owners: ServerOwners;
};

export const limitsKey = createServiceKey<Limits>('limits');
