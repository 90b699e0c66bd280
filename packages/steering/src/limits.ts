import {createServiceKey} from '@parsleyvale/kernel';
import type {StartupPacer} from './startup-pacer.js';
import type {CustomerRates} from './customer-rates.js';
import type {RetryBudget} from './repeat-budget.js';
import type {ServerOwners} from './server-owners.js';

/** Limits that apply to the fleet as a whole. */
export type Limits = {
	readonly rates: CustomerRates;
	readonly retries: RetryBudget;
	readonly startupPacer: StartupPacer;
	readonly owners: ServerOwners;
};

export const limitsKey = createServiceKey<Limits>('limits');
