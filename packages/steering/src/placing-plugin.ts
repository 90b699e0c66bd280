import {Plugin} from '@parsleyvale/kernel';
import {beliefsKey} from './beliefs.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';
import {limitsKey} from './limits.js';
import {Placer, placerKey} from './placer.js';
import type {SteeringKernel} from './types.js';

/** Provides the choice of a server. */
export class PlacingPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	get name(): string {
		return 'placing';
	}

	install(kernel: SteeringKernel): void {
		const placer = new Placer(
			kernel.inject(beliefsKey),
			kernel.inject(limitsKey),
		);
		kernel.provide(placerKey, placer);
	}
}
