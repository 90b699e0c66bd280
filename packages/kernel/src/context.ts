import type {Milliseconds} from '@parsleyvale/shared';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';

/** The interface of the kernel to the handlers of an event. */
export type Context<EventUnion = KernelEvent, EffectUnion = Effect> = {
	/** Time of the event on the host's clock; the same for all its handlers. */
	readonly now: Milliseconds;
	/** Adds an effect for the I/O layer to carry out. */
	emit(effect: EffectUnion): void;
	/** Dispatches an event after all handlers of the current one have run. */
	raise(event: EventUnion): void;
};
