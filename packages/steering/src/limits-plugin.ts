import {Plugin} from '@parsleyvale/kernel';
import {beliefsKey} from './beliefs.js';
import {ColdPacer} from './cold-pacer.js';
import {CustomerRates} from './customer-rates.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';
import {limitsKey} from './limits.js';
import {RepeatBudget} from './repeat-budget.js';
import {ServerOwners} from './server-owners.js';
import type {SteeringKernel} from './types.js';

/** Provides the bounds on sums over all hosts. */
export class LimitsPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	get name(): string {
		return 'limits';
	}

	install(kernel: SteeringKernel): void {
		const {members, settings} = kernel.inject(beliefsKey);
		const owners = new ServerOwners(settings.self, members);
		const rates = new CustomerRates({
			members,
			isFirstStart: settings.isFirstStart,
			tolerance: settings.rateTolerance,
		});
		kernel.on('digest-received', ({digest}) => {
			rates.onDigest(digest);
		});
		kernel.on('configuration-read', ({configuration}, {now}) => {
			rates.define(configuration.customers, now);
		});
		kernel.provide(limitsKey, {
			rates,
			repeats: new RepeatBudget({
				ratio: settings.repeatRatio,
				allowance: settings.repeatAllowance,
				window: settings.repeatWindow,
			}),
			cold: new ColdPacer(owners),
			owners,
		});
	}
}
