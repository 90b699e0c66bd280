import type {Milliseconds} from '@parsleyvale/shared';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';

/** What a handler may do while one event is taken. */
export type Context = {
	/** The host's clock at the event; the same for all handlers of it. */
	readonly now: Milliseconds;
	/** Asks the edges to do something. */
	emit(effect: Effect): void;
	/** Gives an event to the plug-ins, after the handlers of the present one. */
	raise(event: KernelEvent): void;
};
