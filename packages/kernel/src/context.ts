import type {Milliseconds} from '@parsleyvale/shared';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';

/** What a handler may do while one event is taken. */
export type Context<Taken = KernelEvent, Emitted = Effect> = {
	/** The host's clock at the event; the same for all handlers of it. */
	readonly now: Milliseconds;
	/** Asks the edges to do something. */
	emit(effect: Emitted): void;
	/** Gives an event to the plug-ins, after the handlers of the present one. */
	raise(event: Taken): void;
};
