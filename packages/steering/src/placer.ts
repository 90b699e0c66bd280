import {createServiceKey} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {Beliefs} from './beliefs.js';
import {Candidates, type Candidate, type PlaceRequest} from './candidates.js';
import {Delays} from './delays.js';
import type {SteeringAttemptEnded} from './event.js';
import type {Limits} from './limits.js';
import type {SteeringRoute} from './model.js';
import {PoolUtilization} from './pool-utilization.js';
import type {Running, ServerState} from './server-state.js';
import {WorkTimes} from './work-times.js';

/** How likely a server knows an object that no host is known to have sent there: the first in its order, and others. */
const knownAsFirst = 0.3;
const knownOtherwise = 0.05;
/** How likely it still knows one that was lately sent there. */
const knownBySending = 0.95;
/**
 * Work takes a slot from others: in an idle pool it counts so much more than
 * waiting does, and as the pool fills it counts more, so that a full pool
 * spends its slots on objects that are known.
 */
const idleSlotWeight = 0.5;
const fullSlotWeight = 2;
/** Below this part of the slots in use, the pool counts as idle. */
const idleUtilization = 0.5;
/**
 * In a fuller pool, one host a server decides whether it learns an object that
 * others know: free slots seen late by all hosts would be taken by all.
 */
const copyUtilization = 0.7;
/** Work of an unknown object varies: so much of it must fit before the deadline. */
const unknownMargin = 1.4;
/** A server that failed last is weighed as if it took so much longer. */
const suspectFactor = 2;

/** A server and what led to it. */
export type Place = {
	readonly state: ServerState;
	readonly running: Running;
	readonly objectHash: number;
	readonly isWarm: boolean;
	/** Whether it was to wait for a slot. */
	readonly hasQueued: boolean;
	readonly way: Milliseconds;
	readonly load: number;
	readonly candidates: number;
	readonly expected: Milliseconds;
};

/** Why there is no place. */
export type PlaceProblem = {
	readonly kind: ErrorKind;
	/**
	 * A server works on the object for the first time: waiting so long for it
	 * costs less than having another do the same.
	 */
	readonly knownIn: Milliseconds | undefined;
};

/** What bears on a candidate besides the server itself. */
type Weighing = {
	readonly isFirst: boolean;
	readonly utilization: number;
};

type Weighed = {
	/** Until the server knows the object; undefined: send at once. */
	readonly knownIn: Milliseconds | undefined;
	readonly state: ServerState;
	/** Until the answer is expected. */
	readonly time: Milliseconds;
	/** The time, and what the work takes from others. */
	readonly cost: Milliseconds;
	readonly way: Milliseconds;
	readonly wait: Milliseconds;
	readonly work: Milliseconds;
	readonly isKnown: boolean;
	readonly load: number;
};

/**
 * Chooses the server that is expected to answer first: the way there, the
 * wait for a slot, and the work, which is a fraction where the object is known.
 */
export class Placer {
	readonly times = new WorkTimes();
	readonly #beliefs: Beliefs;
	readonly #limits: Limits;
	readonly #candidates: Candidates;
	readonly #delays: Delays;
	readonly #utilization = new PoolUtilization();
	readonly #handled: Array<{
		readonly server: string;
		readonly objectHash: number;
		readonly at: Milliseconds;
	}> = [];

	constructor(beliefs: Beliefs, limits: Limits) {
		this.#beliefs = beliefs;
		this.#limits = limits;
		this.#candidates = new Candidates(beliefs, limits);
		this.#delays = new Delays(beliefs.settings.self);
	}

	/** Errors: no-server, no-room. */
	choose(
		request: PlaceRequest,
		now: Milliseconds,
	): Result<Place, PlaceProblem> {
		const candidates = this.#candidates.list(request, now);
		if (candidates.length === 0) {
			return Result.err({kind: ErrorKind.NoServer, knownIn: undefined});
		}

		const best =
			this.#findUnused(candidates, request, now) ??
			this.#findBest(candidates, request, now);
		if (best === undefined) {
			return Result.err({kind: ErrorKind.NoRoom, knownIn: undefined});
		}

		if (best.knownIn !== undefined) {
			return Result.err({kind: ErrorKind.NoRoom, knownIn: best.knownIn});
		}

		return Result.ok(this.#take(best, request, candidates.length, now));
	}

	/** Takes what an attempt showed of its server. */
	end(
		place: Place,
		route: SteeringRoute,
		ended: SteeringAttemptEnded,
		now: Milliseconds,
	): boolean {
		const {state, running, objectHash} = place;
		if (ended.connectTime !== undefined) {
			this.#delays.observe(state.server, ended.connectTime);
		}

		if (ended.load !== undefined) {
			state.onReported(ended.load, now);
		}

		const isServed =
			ended.outcome === 'answered' && (ended.status ?? 500) < 500;
		if (!isServed) {
			return state.onFailed(running, now);
		}

		this.#observeWork(place, route, ended, now);
		this.#handled.push({server: state.server.id, objectHash, at: now});
		return false;
	}

	/** Servers and the objects that they have handled since then. */
	listHandled(since: Milliseconds): Array<[server: string, object: number]> {
		while (this.#handled.length > 0 && this.#handled[0]!.at < since) {
			this.#handled.shift();
		}

		return this.#handled.map(({server, objectHash}) => [server, objectHash]);
	}

	/** An answer shows how long work takes, and whether the server knew the object. */
	#observeWork(
		place: Place,
		route: SteeringRoute,
		{load}: SteeringAttemptEnded,
		now: Milliseconds,
	): void {
		const {state, running, objectHash, way} = place;
		const work = Math.max(1, now - running.sentAt - way);
		const {warm, cold} = this.times.get(route);
		const isSlow = !this.times.isWarm(route, work);
		// Not the server was slow: it did not have the object any more.
		const isForgotten = place.isWarm && isSlow && (load?.waiting ?? 0) === 0;
		const usual = running.expected + (isForgotten ? cold - warm : 0);
		const position = state.findPosition(objectHash);
		state.onAnswered(running, objectHash, usual, now);
		if (place.hasQueued) {
			return;
		}

		this.times.observe(route, work);
		if (position !== undefined && route.isSticky) {
			this.#beliefs.fleet
				.getMemory(state.server.service)
				.onAnswer(position, !isSlow);
		}
	}

	/**
	 * The first server of this region in the object's order, if it has never
	 * had work: a server that joined would else wait for the others to be full,
	 * since none of its objects is known there.
	 */
	#findUnused(
		candidates: readonly Candidate[],
		request: PlaceRequest,
		now: Milliseconds,
	): Weighed | undefined {
		const {region} = this.#beliefs.settings.self;
		const first = candidates.find(({state}) => state.server.region === region);
		return first?.rank === 0 && !first.state.isUsed
			? this.#findBest([first], request, now)
			: undefined;
	}

	#findBest(
		candidates: readonly Candidate[],
		request: PlaceRequest,
		now: Milliseconds,
	): Weighed | undefined {
		const pool = this.#beliefs.fleet.findPool(request.service);
		const utilization = this.#utilization.compute(request.service, pool, now);
		const isKnownSomewhere = candidates.some(({state}) =>
			state.hasAtHand(request.objectHash),
		);
		const mayCopy = (state: ServerState) =>
			!isKnownSomewhere ||
			utilization < copyUtilization ||
			this.#limits.owners.isOwner(state.server, now);
		let best: Weighed | undefined;
		for (const {state, isFirst} of candidates) {
			const weighed = this.#weigh(state, request, {isFirst, utilization}, now);
			const isBetter = best === undefined || weighed.cost < best.cost;
			const isAllowed = weighed.isKnown || mayCopy(state);
			if (isBetter && isAllowed && hasRoom(weighed, request, now)) {
				best = weighed;
			}
		}

		return best;
	}

	#weigh(
		state: ServerState,
		{route, objectHash, bodyBytes}: PlaceRequest,
		{isFirst, utilization}: Weighing,
		now: Milliseconds,
	): Weighed {
		const {warm, cold} = this.times.get(route);
		const isKnown = state.hasAtHand(objectHash);
		const knownIn = isKnown ? undefined : state.findFirstWork(objectHash, now);
		const chance =
			isKnown || knownIn !== undefined
				? knownBySending
				: isFirst
					? knownAsFirst
					: knownOtherwise;
		const work = chance * warm + (1 - chance) * cold;
		const {slots} = state.server;
		const load = state.computeLoad(now);
		const wait = (Math.max(0, load - slots + 1) * warm) / slots;
		const slowness = state.computeSlowness(now);
		const suspectWeight = state.isSuspect ? suspectFactor : 1;
		const way = this.#delays.compute(state.server, bodyBytes);
		const time = way + (knownIn ?? 0) + (wait + work) * slowness;
		const slotCost = work * slowness * toSlotWeight(utilization);
		const linkCost = this.#delays.computeLinkCost(state.server, bodyBytes);
		const cost = (time + slotCost) * suspectWeight + linkCost;
		return {state, load, way, wait, work, isKnown, knownIn, time, cost};
	}

	#take(
		{state, way, wait, work, load, isKnown}: Weighed,
		{objectHash}: PlaceRequest,
		candidates: number,
		now: Milliseconds,
	): Place {
		const expected = way + wait + work;
		const running = {sentAt: now, expected, objectHash};
		state.onSent(running);
		if (state.isCold(now)) {
			const rate = this.#candidates.getColdRate(state);
			this.#limits.cold.take(state.server.id, rate, now);
		}

		return {
			state,
			running,
			objectHash,
			isWarm: isKnown,
			hasQueued: wait > 0,
			way,
			load,
			candidates,
			expected,
		};
	}
}

export const placerKey = createServiceKey<Placer>('placer');

/** Whether a request can go there now and end before its deadline. */
function hasRoom(
	{state, load, work, time, isKnown, knownIn}: Weighed,
	{deadline, objectiveAt}: PlaceRequest,
	now: Milliseconds,
): boolean {
	const {slots} = state.server;
	if (isKnown || knownIn !== undefined) {
		// A queue at a server that knows the object is well if the answer is in time.
		const isInTime = now + time <= objectiveAt;
		const isFree = load < slots;
		return (isFree || isInTime) && now + time < deadline;
	}

	const margin = work * (unknownMargin - 1);
	return load < slots && now + time + margin < deadline;
}

function toSlotWeight(utilization: number): number {
	const fullness =
		Math.max(0, utilization - idleUtilization) / (1 - idleUtilization);
	return idleSlotWeight + fullness * (fullSlotWeight - idleSlotWeight);
}
