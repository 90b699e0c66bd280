import type {Milliseconds} from '@parsleyvale/shared';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';
import type {Kernel} from './kernel.js';

/** A set of event handlers and services, installed with `Kernel.use`. */
export abstract class Plugin<
	EventUnion extends {readonly type: string} = KernelEvent,
	EffectUnion = Effect,
> {
	abstract get name(): string;

	/**
	 * Whether the plug-in has pending work that a graceful stop must wait for.
	 * Called only after `stop-requested`.
	 */
	isBusy(_now: Milliseconds): boolean {
		return false;
	}

	/** Registers handlers and services, without other side effects. */
	abstract install(kernel: Kernel<EventUnion, EffectUnion>): void;
}
