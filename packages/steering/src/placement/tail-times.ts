import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringRoute} from '../model.js';

/** Fraction of a route's attempts that are not in the tail. */
const tailQuantile = 0.96;
/** Relative step of the estimate: it falls by half within 170 answers, and doubles within eight in the tail. */
const stepSize = 0.1;
/**
 * Lower bound and initial value of the ratio of the time in the tail to the expected
 * one: servers that are slow for a short time take 2.5 times as long, and moving all
 * of their requests costs more slots than it saves.
 */
const minimumRatio = 3;

/** What an attempt was expected to take, and whether its object was cached. */
export type ExpectedAttempt = {
	readonly expectedTime: Milliseconds;
	readonly isCached: boolean;
};

/** Learns for each route after which time an attempt is among the slowest ones. */
export class TailTimes {
	/** Times relative to the expected ones, by route and whether the object was cached. */
	readonly #ratios = new Map<string, number>();

	/** Returns the time after which the attempt is in the tail. */
	compute(route: SteeringRoute, attempt: ExpectedAttempt): Milliseconds {
		return attempt.expectedTime * this.#getRatio(formatKey(route, attempt));
	}

	/** Applies the time of an attempt that was answered, or cancelled as it was in the tail. */
	observe(
		route: SteeringRoute,
		attempt: ExpectedAttempt,
		time: Milliseconds,
	): void {
		const key = formatKey(route, attempt);
		const ratio = this.#getRatio(key);
		const isInTail = time >= attempt.expectedTime * ratio;
		const step = stepSize * (isInTail ? tailQuantile : tailQuantile - 1);
		this.#ratios.set(key, Math.max(minimumRatio, ratio * Math.exp(step)));
	}

	#getRatio(key: string): number {
		return this.#ratios.get(key) ?? minimumRatio;
	}
}

function formatKey({name}: SteeringRoute, {isCached}: ExpectedAttempt): string {
	return `${isCached ? 'cached' : 'uncached'} ${name}`;
}
