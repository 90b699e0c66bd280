import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringArrival} from './event.js';
import type {SteeringCustomer, SteeringRoute} from './model.js';
import type {Placement} from './placer.js';

/** A request between its admission and its outcome. */
export type LiveRequest = {
	readonly arrival: SteeringArrival;
	readonly route: SteeringRoute;
	readonly customer: SteeringCustomer | undefined;
	readonly service: string;
	readonly homeRegions: readonly string[];
	/** Requests for the same object are preferably served by the same server. */
	readonly objectHash: number;
	/** When the answer is due to meet the latency objective, and when the request times out. */
	readonly objectiveAt: Milliseconds;
	readonly deadline: Milliseconds;
	readonly priority: number;
	/** Servers that an attempt was made at, including those not reached. */
	readonly triedServers: Set<string>;
	/** Attempts that may have run the request. */
	runs: number;
	attempt: number;
	placement: Placement | undefined;
	waitingSince: Milliseconds | undefined;
	/** When a server should have the object cached that the request waits for. */
	warmAt: Milliseconds | undefined;
};
