import {createServiceKey} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {HostState} from '../host-state.js';
import type {SteeringEffect} from '../effect.js';
import type {SteeringAttemptEnded} from '../event.js';
import type {Limits} from '../limits.js';
import type {SteeringRoute} from '../model.js';
import {PoolHealth} from '../servers/pool-health.js';
import {PoolUtilization} from '../servers/pool-utilization.js';
import type {InFlightRequest, ServerState} from '../servers/server-state.js';
import {PriorityHeadroom} from '../queueing/priority-headroom.js';
import {NetworkDelays} from './network-delays.js';
import {
	Candidates,
	type Candidate,
	type PlacementRequest,
} from './candidates.js';
import {ProcessingTimes} from './processing-times.js';
import {ResponseSizes} from './response-sizes.js';
import {LeastCostChoice, type ServerChoice} from './server-choice.js';
import {TailTimes} from './tail-times.js';
import {canServe, ServerScorer, type ScoredCandidate} from './server-scorer.js';

/**
 * Utilization up to which any host may send an object to a server that does not
 * have it cached although another one does. Above it, only the server's owner
 * may, as other hosts would take the same free slot.
 */
const secondCacheUtilization = 0.7;
/** The chosen server and the estimates behind the choice. */
export type Placement = {
	readonly state: ServerState;
	readonly inFlightRequest: InFlightRequest;
	readonly objectHash: number;
	readonly isCached: boolean;
	/** Whether the request was expected to wait for a slot. */
	readonly isQueued: boolean;
	readonly networkTime: Milliseconds;
	readonly load: number;
	readonly candidateCount: number;
	readonly expectedTime: Milliseconds;
};

/** Why no server was chosen. */
export type PlacementFailure = {
	readonly kind: ErrorKind;
	/**
	 * Time until a server that is processing the object has it cached, if waiting
	 * for that costs less than processing the uncached object on another server.
	 */
	readonly timeUntilCached: Milliseconds | undefined;
};

/**
 * Chooses a server by its expected cost: network time, queue time and processing
 * time, which is a fraction where the object is cached. The lowest cost decides,
 * or, where load control is enabled, the choice of the settings.
 */
export class Placer {
	readonly processingTimes = new ProcessingTimes();
	readonly headroom: PriorityHeadroom;
	readonly #hostState: HostState;
	readonly #limits: Limits;
	readonly #poolHealth: PoolHealth;
	readonly #tailTimes = new TailTimes();
	readonly #candidates: Candidates;
	readonly #delays: NetworkDelays;
	readonly #utilization = new PoolUtilization();
	readonly #responseSizes = new ResponseSizes();
	readonly #scorer: ServerScorer;
	readonly #leastCost = new LeastCostChoice();
	/** Used for services with load control. */
	readonly #choice: ServerChoice;
	readonly #handled: Array<{
		readonly server: string;
		readonly objectHash: number;
		readonly at: Milliseconds;
	}> = [];

	constructor(hostState: HostState, limits: Limits) {
		this.#hostState = hostState;
		this.headroom = new PriorityHeadroom(hostState, this.processingTimes);
		this.#limits = limits;
		this.#poolHealth = new PoolHealth(
			hostState.serverTable,
			hostState.settings.self.region,
		);
		this.#choice = hostState.settings.serverChoice ?? this.#leastCost;
		this.#candidates = new Candidates(hostState, limits);
		this.#delays = new NetworkDelays(hostState.settings.self);
		this.#scorer = new ServerScorer({
			processingTimes: this.processingTimes,
			delays: this.#delays,
			responseSizes: this.#responseSizes,
		});
	}

	/** Errors: no-server, no-room. */
	choose(
		request: PlacementRequest,
		now: Milliseconds,
	): Result<Placement, PlacementFailure> {
		if (!this.#poolHealth.hasRoom(request.service, now)) {
			return Result.err({kind: ErrorKind.NoRoom, timeUntilCached: undefined});
		}

		const {candidates, isRateLimited} = this.#candidates.list(request, now);
		if (candidates.length === 0) {
			const kind = isRateLimited ? ErrorKind.NoRoom : ErrorKind.NoServer;
			return Result.err({kind, timeUntilCached: undefined});
		}

		const best =
			this.#findUnusedServer(candidates, request, now) ??
			this.#findBest(candidates, request, now);
		if (best === undefined) {
			return Result.err({kind: ErrorKind.NoRoom, timeUntilCached: undefined});
		}

		if (best.timeUntilCached !== undefined) {
			return Result.err({
				kind: ErrorKind.NoRoom,
				timeUntilCached: best.timeUntilCached,
			});
		}

		return Result.ok(this.#reserve(best, request, candidates.length, now));
	}

	/** Updates the server's state from the result of an attempt; returns whether the server was ejected. */
	onAttemptEnded(
		placement: Placement,
		route: SteeringRoute,
		ended: SteeringAttemptEnded,
		now: Milliseconds,
	): boolean {
		const {state, inFlightRequest, objectHash} = placement;
		if (ended.connectTime !== undefined) {
			this.#delays.observe(state.server, ended.connectTime);
		}

		if (ended.load !== undefined) {
			state.onLoadReported(ended.load, now);
			const {workTimePercent} = ended.load;
			if (workTimePercent !== undefined && this.#isLoadControlled) {
				state.onWorkTimeStated(workTimePercent, now);
			}
		}

		const isServed =
			ended.outcome === 'answered' && (ended.status ?? 500) < 500;
		const isControlled = this.#isLoadControlled;
		if (!isServed) {
			return isControlled
				? this.#poolHealth.onNotServed(state, inFlightRequest, ended, now)
				: state.onFailed(inFlightRequest, now);
		}

		if (isControlled) {
			this.#poolHealth.onServed(state, now);
			const time = now - inFlightRequest.sentAt;
			this.#tailTimes.observe(route, placement, time);
		}

		this.#responseSizes.observe(route.name, ended.responseBytes);
		this.#observeProcessingTime(placement, route, ended, now);
		this.#handled.push({server: state.server.id, objectHash, at: now});
		return false;
	}

	/** Returns the time after which an attempt should be made elsewhere; undefined: it is not learned. */
	findTailTime(
		placement: Placement,
		route: SteeringRoute,
	): Milliseconds | undefined {
		return this.#isLoadControlled
			? this.#tailTimes.compute(route, placement)
			: undefined;
	}

	/** The attempt took too long and was cancelled. */
	onOverdue(
		placement: Placement,
		route: SteeringRoute,
		now: Milliseconds,
	): void {
		const {state, inFlightRequest} = placement;
		if (this.#isLoadControlled) {
			const time = now - inFlightRequest.sentAt;
			this.#tailTimes.observe(route, placement, time);
			this.#poolHealth.onOverdue(state, inFlightRequest, now);
		} else {
			state.onFailed(inFlightRequest, now);
		}
	}

	/** Returns the metrics and log lines of pools since the last call. */
	takeReport(now: Milliseconds): readonly SteeringEffect[] {
		return this.#poolHealth.takeReport(now);
	}

	/** Whether a request that was shed may be sent to another server. */
	mayRetryShed(service: string, now: Milliseconds): boolean {
		return !this.#poolHealth.isSheddingWidely(service, now);
	}

	/** Returns the objects handled since the given time, each with its server. */
	listHandled(since: Milliseconds): Array<[server: string, object: number]> {
		while (this.#handled.length > 0 && this.#handled[0]!.at < since) {
			this.#handled.shift();
		}

		return this.#handled.map(({server, objectHash}) => [server, objectHash]);
	}

	get #isLoadControlled(): boolean {
		return this.#hostState.loadControl.isEnabled;
	}

	/** Derives the processing time, and whether the object was cached, from an answer. */
	#observeProcessingTime(
		placement: Placement,
		route: SteeringRoute,
		{load}: SteeringAttemptEnded,
		now: Milliseconds,
	): void {
		const {state, inFlightRequest, objectHash, networkTime} = placement;
		const {warm, cold} = this.processingTimes.get(route);
		const observedTime = now - inFlightRequest.sentAt - networkTime;
		// What a slow machine takes does not count as the usual time.
		const processingTime = Math.max(
			1,
			Math.min(observedTime, warm),
			observedTime / state.computeWorkTimeFactor(now),
		);
		const isSlow = !this.processingTimes.isWarm(route, processingTime);
		// A slow answer without a queue means that the object was evicted, not that the server is slow.
		const isEvicted =
			placement.isCached && isSlow && (load?.waiting ?? 0) === 0;
		const usualTime =
			inFlightRequest.expectedTime + (isEvicted ? cold - warm : 0);
		const reuseDistance = state.findReuseDistance(objectHash);
		state.onAnswered(inFlightRequest, objectHash, usualTime, now);
		if (placement.isQueued) {
			return;
		}

		this.processingTimes.observe(route, processingTime);
		if (reuseDistance !== undefined && route.isSticky) {
			this.#hostState.serverTable
				.getCacheEstimator(state.server.service)
				.onAnswer(reuseDistance, !isSlow);
		}
	}

	/**
	 * The object's top-ranked server in this region, if it has never been used.
	 * Otherwise a new server, which has nothing cached, would get no requests
	 * until the others are full.
	 */
	#findUnusedServer(
		candidates: readonly Candidate[],
		request: PlacementRequest,
		now: Milliseconds,
	): ScoredCandidate | undefined {
		const {region} = this.#hostState.settings.self;
		const first = candidates.find(({state}) => state.server.region === region);
		return first?.rank === 0 && !first.state.hasBeenUsed
			? this.#findBest([first], request, now)
			: undefined;
	}

	#findBest(
		candidates: readonly Candidate[],
		request: PlacementRequest,
		now: Milliseconds,
	): ScoredCandidate | undefined {
		const pool = this.#hostState.serverTable.findPool(request.service);
		const utilization = this.#utilization.compute(request.service, pool, now);
		const meanSlotTime = this.headroom.findMeanSlotTime(request.service);
		const isCachedSomewhere = candidates.some(({state}) =>
			state.hasCached(request.objectHash),
		);
		const mayCacheOnAnotherServer = (state: ServerState) =>
			!isCachedSomewhere ||
			utilization < secondCacheUtilization ||
			this.#limits.owners.isOwner(state.server, now);
		const suitable: ScoredCandidate[] = [];
		for (const {state, isTopRanked} of candidates) {
			const scored = this.#scorer.score(
				state,
				request,
				{
					isTopRanked,
					utilization: this.#findRegionUtilization(state, now) ?? utilization,
					meanSlotTime,
				},
				now,
			);
			const isAllowed = scored.isCached || mayCacheOnAnotherServer(state);
			if (!isAllowed) {
				continue;
			}

			const usableSlots = this.headroom.getUsableSlots(request, state, now);
			if (canServe(scored, request, usableSlots, now)) {
				suitable.push(scored);
			}
		}

		return suitable.length === 0
			? undefined
			: this.#currentChoice.choose(suitable, now);
	}

	get #currentChoice(): ServerChoice {
		return this.#isLoadControlled ? this.#choice : this.#leastCost;
	}

	/** Utilization of the server's region, so that requests leave a region before it is full. */
	#findRegionUtilization(
		state: ServerState,
		now: Milliseconds,
	): number | undefined {
		const {service, region} = state.server;
		return this.#isLoadControlled
			? this.#poolHealth.findUtilization(service, region, now)
			: undefined;
	}

	#reserve(
		{
			state,
			networkTime,
			queueTime,
			processingTime,
			load,
			isCached,
		}: ScoredCandidate,
		{objectHash}: PlacementRequest,
		candidateCount: number,
		now: Milliseconds,
	): Placement {
		const expectedTime = networkTime + queueTime + processingTime;
		const inFlightRequest = {sentAt: now, expectedTime, objectHash};
		state.onSent(inFlightRequest);
		if (this.#isLoadControlled) {
			this.#poolHealth.onSent(state);
		}

		this.#limits.serverRates.take(state, now);
		if (state.isStarting(now)) {
			const rate = this.#candidates.getStartupRate(state);
			this.#limits.startupPacer.take(state.server.id, rate, now);
		}

		return {
			state,
			inFlightRequest,
			objectHash,
			isCached,
			isQueued: queueTime > 0,
			networkTime,
			load,
			candidateCount,
			expectedTime,
		};
	}
}

export const placerKey = createServiceKey<Placer>('placer');
