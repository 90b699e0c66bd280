import {Plugin} from '@parsleyvale/kernel';
import {crashGuardKey} from '../crashes/crash-guard.js';
import {hostStateKey} from '../host-state.js';
import type {SteeringEffect} from '../effect.js';
import type {SteeringEvent} from '../event.js';
import {limitsKey} from '../limits.js';
import {placerKey} from '../placement/placer.js';
import type {SteeringKernel} from '../types.js';
import {RequestLifecycle} from './request-lifecycle.js';

/** Handles requests from arrival to outcome. */
export class SteeringRequestsPlugin extends Plugin<
	SteeringEvent,
	SteeringEffect
> {
	#lifecycle!: RequestLifecycle;

	get name(): string {
		return 'requests';
	}

	override isBusy(): boolean {
		return this.#lifecycle.isBusy;
	}

	install(kernel: SteeringKernel): void {
		const lifecycle = new RequestLifecycle({
			hostState: kernel.inject(hostStateKey),
			limits: kernel.inject(limitsKey),
			placer: kernel.inject(placerKey),
			crashGuard: kernel.inject(crashGuardKey),
		});
		this.#lifecycle = lifecycle;
		kernel.on('request-arrived', (event, context) => {
			lifecycle.onArrived(event, context);
		});
		kernel.on('answer-started', ({requestId, attempt}) => {
			lifecycle.onAnswerStarted(requestId, attempt);
		});
		kernel.on('attempt-ended', (event, context) => {
			lifecycle.onAttemptEnded(event, context);
		});
		kernel.on('request-cancelled', (event, context) => {
			lifecycle.onCancelled(event.requestId, context);
		});
		kernel.on('fleet-listed', (_event, context) => {
			lifecycle.dispatchAllWaiting(context);
		});
		kernel.on('stop-requested', () => {
			lifecycle.onStopRequested();
		});
		kernel.on('tick', (_event, context) => {
			lifecycle.onTick(context);
		});
	}
}
