import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringRoute} from '../model.js';
import type {ProcessingTimes} from '../placement/processing-times.js';

/** Weight of the newest answer in the moving averages: about twenty answers count. */
const gain = 0.05;
/** Fraction of requests for cached objects that is assumed before the first answer. */
const initialCachedFraction = 0.5;

type ServiceMean = {time: Milliseconds; readonly routes: Set<string>};

/** Estimates how long requests occupy a slot, with cached and uncached objects in the proportion of recent answers. */
export class SlotTimes {
	readonly #processingTimes: ProcessingTimes;
	readonly #cachedFractions = new Map<string, number>();
	readonly #serviceMeans = new Map<string, ServiceMean>();

	constructor(processingTimes: ProcessingTimes) {
		this.#processingTimes = processingTimes;
	}

	/** Returns the mean slot time of a route's requests. */
	get(route: SteeringRoute): Milliseconds {
		const {warm, cold} = this.#processingTimes.get(route);
		const cachedFraction =
			this.#cachedFractions.get(route.name) ?? initialCachedFraction;
		return cachedFraction * warm + (1 - cachedFraction) * cold;
	}

	/**
	 * Returns the mean slot time of all requests that the service answered; undefined
	 * unless it answers several routes. With one route, nearly all requests that wait
	 * in front have their objects cached, and the mean would be too long.
	 */
	findServiceMean(service: string): Milliseconds | undefined {
		const mean = this.#serviceMeans.get(service);
		return mean === undefined || mean.routes.size < 2 ? undefined : mean.time;
	}

	/** Adds the slot time of an answer to the averages. */
	observe(service: string, route: SteeringRoute, time: Milliseconds): void {
		const cachedFraction =
			this.#cachedFractions.get(route.name) ?? initialCachedFraction;
		const isCached = this.#processingTimes.isWarm(route, time) ? 1 : 0;
		this.#cachedFractions.set(
			route.name,
			cachedFraction + gain * (isCached - cachedFraction),
		);
		const mean = this.#serviceMeans.get(service) ?? {time, routes: new Set()};
		mean.time += gain * (time - mean.time);
		mean.routes.add(route.name);
		this.#serviceMeans.set(service, mean);
	}
}
