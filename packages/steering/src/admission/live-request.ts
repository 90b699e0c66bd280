import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringArrival} from '../event.js';
import type {SteeringCustomer, SteeringRoute} from '../model.js';
import type {Placement} from '../placement/placer.js';

/** A request between its admission and its outcome. */
export type LiveRequest = {
	readonly arrival: SteeringArrival;
	/** The same for the same request of the same customer. */
	readonly identity: string;
	readonly route: SteeringRoute;
	readonly customer: SteeringCustomer | undefined;
	readonly service: string;
	readonly homeRegions: readonly string[];
	/** Requests for the same object are preferably served by the same server. */
	readonly objectHash: number;
	/** When the latency objective is missed. */
	readonly objectiveDeadline: Milliseconds;
	/** When the request times out. */
	deadline: Milliseconds;
	readonly priority: number;
	/** Servers that an attempt was made at, including unreachable ones. */
	readonly triedServers: Set<string>;
	/** Number of attempts that may have run the request. */
	possibleRuns: number;
	attempt: number;
	/** Whether the caller has received a part of the answer of the current attempt. */
	isAnswerStarted: boolean;
	placement: Placement | undefined;
	waitingSince: Milliseconds | undefined;
	/** When the object that the request waits for should be cached; undefined: it waits for capacity only. */
	cachedAt: Milliseconds | undefined;
};
