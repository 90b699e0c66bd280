import {Plugin} from '@parsleyvale/kernel';
import {beliefsKey} from './beliefs.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';
import {limitsKey} from './limits.js';
import {placerKey} from './placer.js';
import {RequestLife} from './request-life.js';
import type {SteeringKernel} from './types.js';

/** Takes requests from their arrival to their one end. */
export class SteeringRequestsPlugin extends Plugin<
	SteeringEvent,
	SteeringEffect
> {
	#life!: RequestLife;

	get name(): string {
		return 'requests';
	}

	override isBusy(): boolean {
		return this.#life.isBusy;
	}

	install(kernel: SteeringKernel): void {
		const life = new RequestLife({
			beliefs: kernel.inject(beliefsKey),
			limits: kernel.inject(limitsKey),
			placer: kernel.inject(placerKey),
		});
		this.#life = life;
		kernel.on('request-arrived', (event, context) => {
			life.onArrived(event, context);
		});
		kernel.on('attempt-ended', (event, context) => {
			life.onAttemptEnded(event, context);
		});
		kernel.on('request-cancelled', (event, context) => {
			life.onCancelled(event.requestId, context);
		});
		kernel.on('fleet-listed', (_event, context) => {
			life.serveAll(context);
		});
		kernel.on('tick', (_event, context) => {
			life.onTick(context);
		});
	}
}
