import {Plugin} from '@parsleyvale/kernel';
import {hostStateKey} from './host-state.js';
import {StartupPacer} from './startup-pacer.js';
import {CustomerRates} from './customer-rates.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';
import {limitsKey} from './limits.js';
import {RetryBudget} from './limits/repeat-budget.js';
import {ServerOwners} from './server-owners.js';
import {ServerRates} from './server-rates.js';
import type {SteeringKernel} from './types.js';

/** Provides the limits that apply to the fleet as a whole. */
export class LimitsPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	get name(): string {
		return 'limits';
	}

	install(kernel: SteeringKernel): void {
		const {members, settings, serverTable} = kernel.inject(hostStateKey);
		const owners = new ServerOwners(settings.self, members);
		const rates = new CustomerRates({
			members,
			isFirstStart: settings.isFirstStart,
			tolerance: settings.rateTolerance,
			random: settings.random,
		});
		const serverRates = new ServerRates({
			self: settings.self.name,
			members,
			serverTable,
			random: settings.random,
		});
		kernel.on('digest-received', ({digest}, {now}) => {
			rates.onDigest(digest, now);
			serverRates.onDigest(digest, now);
		});
		kernel.on('fleet-listed', () => {
			serverRates.removeLeft();
		});
		kernel.on('configuration-read', ({configuration}, {now}) => {
			rates.createBuckets(configuration.customers, now);
		});
		kernel.provide(limitsKey, {
			rates,
			serverRates,
			retries: new RetryBudget({
				ratio: settings.retryRatio,
				allowance: settings.retryAllowance,
				windowDuration: settings.retryWindowDuration,
			}),
			startupPacer: new StartupPacer(owners),
			owners,
		});
	}
}
