import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringRoute} from '../model.js';

/** Weight of the newest answer in the moving average: about fifteen answers count. */
const processingTimeGain = 0.07;
/** Initial estimate for cached objects, as a fraction of the latency objective. */
const initialWarmFraction = 0.5;
/** Initial estimate for uncached objects, as a multiple of the latency objective. */
const initialColdFraction = 1.5;
/** Upper bound of initial estimates, as a fraction of the timeout: a higher one would have requests refused as too late. */
const maximumTimeoutFraction = 0.5;

type RouteTimes = {warm: Milliseconds; cold: Milliseconds};

/** Estimates the processing time of each route's requests, for cached (warm) and uncached (cold) objects. */
export class ProcessingTimes {
	readonly #times = new Map<string, RouteTimes>();

	get(route: SteeringRoute): Readonly<RouteTimes> {
		return (
			this.#times.get(route.name) ?? {
				warm: computeInitialEstimate(route, initialWarmFraction),
				cold: computeInitialEstimate(route, initialColdFraction),
			}
		);
	}

	/** Whether a processing time indicates that the object was cached. */
	isWarm(route: SteeringRoute, time: Milliseconds): boolean {
		const {warm, cold} = this.get(route);
		return time < (warm + cold) / 2;
	}

	/** Adds the processing time of an answer to the average. */
	observe(route: SteeringRoute, time: Milliseconds): void {
		const times = {...this.get(route)};
		const kind = this.isWarm(route, time) ? 'warm' : 'cold';
		const boundedTime = Math.min(time, times[kind] * 3);
		times[kind] += processingTimeGain * (boundedTime - times[kind]);
		this.#times.set(route.name, times);
	}
}

function computeInitialEstimate(
	{latencyObjectiveMs, timeoutMs}: SteeringRoute,
	multiple: number,
): Milliseconds {
	return Math.min(
		latencyObjectiveMs * multiple,
		timeoutMs * maximumTimeoutFraction,
	);
}
