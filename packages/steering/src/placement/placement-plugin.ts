import {Plugin} from '@parsleyvale/kernel';
import {hostStateKey} from '../host-state.js';
import type {SteeringEffect} from '../effect.js';
import type {SteeringEvent} from '../event.js';
import {limitsKey} from '../limits.js';
import type {SteeringKernel} from '../types.js';
import {Placer, placerKey} from './placer.js';
import {UnevennessSampler} from './unevenness-sampler.js';

/** Provides the placer, which chooses servers for requests, and reports how even the load is. */
export class PlacementPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	get name(): string {
		return 'placing';
	}

	install(kernel: SteeringKernel): void {
		const hostState = kernel.inject(hostStateKey);
		const placer = new Placer(hostState, kernel.inject(limitsKey));
		kernel.provide(placerKey, placer);
		const unevennessSampler = new UnevennessSampler(hostState);
		kernel.on('tick', (_event, context) => {
			unevennessSampler.sampleWhenDue(context);
			for (const effect of placer.takeReport(context.now)) {
				context.emit(effect);
			}
		});
	}
}
