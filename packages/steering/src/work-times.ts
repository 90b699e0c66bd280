import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringRoute} from './model.js';

/** Weight of the newest answer: about fifteen answers count. */
const gain = 0.07;
/** Until answers are seen, work on a known object takes this part of the objective. */
const firstWarmPart = 0.5;
/** Until answers are seen, work on an unknown object takes so many objectives. */
const firstColdPart = 1.5;
/** A guess must not let a request seem hopeless: this part of the time-out at most. */
const longestGuess = 0.5;

type Times = {warm: Milliseconds; cold: Milliseconds};

/**
 * How long servers work on a route's requests: on objects that they have
 * handled lately, and on others.
 */
export class WorkTimes {
	readonly #times = new Map<string, Times>();

	get(route: SteeringRoute): Readonly<Times> {
		return (
			this.#times.get(route.name) ?? {
				warm: computeGuess(route, firstWarmPart),
				cold: computeGuess(route, firstColdPart),
			}
		);
	}

	/** Whether work of that time was on an object that the server knew. */
	isWarm(route: SteeringRoute, time: Milliseconds): boolean {
		const {warm, cold} = this.get(route);
		return time < (warm + cold) / 2;
	}

	/** Takes the time of an answer. */
	observe(route: SteeringRoute, time: Milliseconds): void {
		const times = {...this.get(route)};
		const kind = this.isWarm(route, time) ? 'warm' : 'cold';
		const bounded = Math.min(time, times[kind] * 3);
		times[kind] += gain * (bounded - times[kind]);
		this.#times.set(route.name, times);
	}
}

function computeGuess(
	{latencyObjectiveMs, timeoutMs}: SteeringRoute,
	part: number,
): Milliseconds {
	return Math.min(latencyObjectiveMs * part, timeoutMs * longestGuess);
}
