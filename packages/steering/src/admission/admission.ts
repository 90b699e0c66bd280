import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {createRequestIdentity} from '../crashes/crash-guard.js';
import type {HostState} from '../host-state.js';
import type {SteeringArrival} from '../event.js';
import {computeHash} from '../hash.js';
import type {SteeringCustomer, SteeringRoute} from '../model.js';
import type {TrafficSplit} from '../traffic-split.js';
import type {LiveRequest} from './live-request.js';

/** Safety margin below the bound within which a withdrawn key must stop working; callers' network delay needs none, since a request is sent before it arrives. */
const withdrawalMargin: Milliseconds = 100;

/** Checks an arriving request against the current configuration. */
export class Admission {
	readonly #hostState: HostState;
	readonly #split: TrafficSplit;

	constructor(hostState: HostState, split: TrafficSplit) {
		this.#hostState = hostState;
		this.#split = split;
	}

	/** Errors: stopping, not-configured, no-route, key-missing, key-unknown, keys-not-fresh. */
	admit(
		arrival: SteeringArrival,
		now: Milliseconds,
	): Result<LiveRequest, ErrorKind> {
		const {configuration, isReady, stopSchedule} = this.#hostState;
		if (!stopSchedule.isAccepting(now)) {
			return Result.err(ErrorKind.Stopping);
		}

		if (!isReady && !stopSchedule.isStopping) {
			return Result.err(ErrorKind.NotConfigured);
		}

		const route = configuration.findRoute(arrival.hostName, arrival.path);
		if (route === undefined) {
			return Result.err(
				this.#isConfirmedRecently(now)
					? ErrorKind.NoRoute
					: ErrorKind.KeysNotFresh,
			);
		}

		if (route.isPublic) {
			return Result.ok(this.#createLiveRequest(arrival, route, undefined));
		}

		if (arrival.keyHash === undefined) {
			return Result.err(ErrorKind.KeyMissing);
		}

		return configuration
			.identify(arrival.keyHash, now, this.#maximumConfirmationAge)
			.map((customer) => this.#createLiveRequest(arrival, route, customer));
	}

	get #maximumConfirmationAge(): Milliseconds {
		return this.#hostState.settings.maximumWithdrawalDelay - withdrawalMargin;
	}

	#isConfirmedRecently(now: Milliseconds): boolean {
		return (
			this.#hostState.configuration.computeConfirmationAge(now) <=
			this.#maximumConfirmationAge
		);
	}

	#createLiveRequest(
		arrival: SteeringArrival,
		route: SteeringRoute,
		customer: SteeringCustomer | undefined,
	): LiveRequest {
		const timeLeft = arrival.timeLeft ?? Number.POSITIVE_INFINITY;
		return {
			arrival,
			identity: createRequestIdentity(arrival.fingerprint, customer?.name),
			route,
			customer,
			service: this.#split.choose(route).service,
			homeRegions: intersectHomeRegions(
				route.homeRegions,
				customer?.homeRegions ?? [],
			),
			objectHash: computeHash(createObjectKey(arrival, route)),
			objectiveDeadline: arrival.arrivedAt + route.latencyObjectiveMs,
			deadline: Math.min(
				arrival.arrivedAt + Math.min(route.timeoutMs, timeLeft),
				this.#hostState.stopSchedule.deadline,
			),
			priority: customer?.priority ?? route.priority,
			triedServers: new Set(),
			possibleRuns: 0,
			attempt: 0,
			isAnswerStarted: false,
			placement: undefined,
			waitingSince: undefined,
			cachedAt: undefined,
		};
	}
}

/** Matches no region, so that no server is eligible. */
const noRegion = '';

/** If both the route and the customer have home regions, only regions in both may serve the request. */
function intersectHomeRegions(
	routeRegions: readonly string[],
	customerRegions: readonly string[],
): readonly string[] {
	if (routeRegions.length === 0 || customerRegions.length === 0) {
		return [...routeRegions, ...customerRegions];
	}

	const common = routeRegions.filter((region) =>
		customerRegions.includes(region),
	);
	return common.length > 0 ? common : [noRegion];
}

function createObjectKey(
	arrival: SteeringArrival,
	route: SteeringRoute,
): string {
	const {affinity, requestId} = arrival;
	return route.isSticky && affinity !== undefined
		? `${route.name}/${affinity}`
		: requestId;
}
