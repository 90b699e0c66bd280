import type {Milliseconds} from '@parsleyvale/shared';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';
import type {Kernel} from './kernel.js';

/** A part of the decisions, installed through `Kernel.use`. */
export abstract class Plugin<
	Taken extends {readonly type: string} = KernelEvent,
	Emitted = Effect,
> {
	abstract get name(): string;

	/**
	 * Whether the plug-in still has work that a graceful stop must wait for.
	 * Asked only after `stop-requested`.
	 */
	isBusy(_now: Milliseconds): boolean {
		return false;
	}

	/** Registers handlers and services. Does no work. */
	abstract install(kernel: Kernel<Taken, Emitted>): void;
}
