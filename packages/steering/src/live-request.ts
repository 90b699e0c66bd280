import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringArrival} from './event.js';
import type {SteeringCustomer, SteeringRoute} from './model.js';
import type {Place} from './placer.js';

/** A request between its arrival and its one end. */
export type LiveRequest = {
	readonly arrival: SteeringArrival;
	readonly route: SteeringRoute;
	readonly customer: SteeringCustomer | undefined;
	readonly service: string;
	readonly homeRegions: readonly string[];
	/** Requests for the same one are best served by the same server. */
	readonly objectHash: number;
	/** When the answer should be there, and when it must be. */
	readonly objectiveAt: Milliseconds;
	readonly deadline: Milliseconds;
	readonly priority: number;
	/** Servers that it was sent to, or tried to be. */
	readonly tried: Set<string>;
	/** Attempts that may have run it. */
	runs: number;
	attempt: number;
	place: Place | undefined;
	waitingSince: Milliseconds | undefined;
	/** Until when it waits for a server to know its object. */
	knownAt: Milliseconds | undefined;
};
