import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {Beliefs} from './beliefs.js';
import type {SteeringArrival} from './event.js';
import {computeHash} from './hash.js';
import type {LiveRequest} from './live-request.js';
import type {SteeringCustomer, SteeringRoute} from './model.js';
import type {TrafficSplit} from './split.js';

/** A caller's request was sent before it arrived, so that no margin is needed for its way. */
const revocationMargin: Milliseconds = 100;

/** Checks a request against the configuration in force. */
export class Admission {
	readonly #beliefs: Beliefs;
	readonly #split: TrafficSplit;

	constructor(beliefs: Beliefs, split: TrafficSplit) {
		this.#beliefs = beliefs;
		this.#split = split;
	}

	/** Errors: not-configured, no-route, key-missing, key-unknown, keys-not-fresh. */
	admit(
		arrival: SteeringArrival,
		now: Milliseconds,
	): Result<LiveRequest, ErrorKind> {
		const {configuration, isReady, isStopping} = this.#beliefs;
		if (!isReady && !isStopping) {
			return Result.err(ErrorKind.NotConfigured);
		}

		const route = configuration.findRoute(arrival.hostName, arrival.path);
		if (route === undefined) {
			return Result.err(
				this.#isFresh(now) ? ErrorKind.NoRoute : ErrorKind.KeysNotFresh,
			);
		}

		if (route.isPublic) {
			return Result.ok(this.#toLive(arrival, route, undefined));
		}

		if (arrival.keyHash === undefined) {
			return Result.err(ErrorKind.KeyMissing);
		}

		return configuration
			.identify(arrival.keyHash, now, this.#longestAge)
			.map((customer) => this.#toLive(arrival, route, customer));
	}

	get #longestAge(): Milliseconds {
		return this.#beliefs.settings.revocationBound - revocationMargin;
	}

	#isFresh(now: Milliseconds): boolean {
		return this.#beliefs.configuration.computeAge(now) <= this.#longestAge;
	}

	#toLive(
		arrival: SteeringArrival,
		route: SteeringRoute,
		customer: SteeringCustomer | undefined,
	): LiveRequest {
		const timeLeft = arrival.timeLeft ?? Number.POSITIVE_INFINITY;
		return {
			arrival,
			route,
			customer,
			service: this.#split.choose(route).service,
			homeRegions: mergeHomes(route.homeRegions, customer?.homeRegions ?? []),
			objectHash: computeHash(toObject(arrival, route)),
			objectiveAt: arrival.arrivedAt + route.latencyObjectiveMs,
			deadline: arrival.arrivedAt + Math.min(route.timeoutMs, timeLeft),
			priority: customer?.priority ?? route.priority,
			tried: new Set(),
			runs: 0,
			attempt: 0,
			place: undefined,
			waitingSince: undefined,
			knownAt: undefined,
		};
	}
}

/** A region that is home to nobody: nothing may serve the request. */
const noRegion = '';

/** Where both the route and the customer have homes, both bind. */
function mergeHomes(
	ofRoute: readonly string[],
	ofCustomer: readonly string[],
): readonly string[] {
	if (ofRoute.length === 0 || ofCustomer.length === 0) {
		return [...ofRoute, ...ofCustomer];
	}

	const both = ofRoute.filter((region) => ofCustomer.includes(region));
	return both.length > 0 ? both : [noRegion];
}

function toObject(arrival: SteeringArrival, route: SteeringRoute): string {
	const {affinity, requestId} = arrival;
	return route.isSticky && affinity !== undefined
		? `${route.name}/${affinity}`
		: requestId;
}
