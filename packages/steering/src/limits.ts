import {createServiceKey} from '@parsleyvale/kernel';
import type {StartupPacer} from './startup-pacer.js';
import type {CustomerRates} from './customer-rates.js';
import type {RetryBudget} from './limits/repeat-budget.js';
import type {ServerOwners} from './server-owners.js';
import type {ServerRates} from './server-rates.js';

/** Limits that apply to the fleet as a whole. */
export type Limits = {
	readonly rates: CustomerRates;
	readonly serverRates: ServerRates;
	readonly retries: RetryBudget;
	readonly startupPacer: StartupPacer;
	readonly owners: ServerOwners;
};

export const limitsKey = createServiceKey<Limits>('limits');
