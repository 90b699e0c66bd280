import {createServiceKey} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {Beliefs} from './beliefs.js';
import {Delays} from './delays.js';
import type {SteeringAttemptEnded} from './event.js';
import type {Limits} from './limits.js';
import type {SteeringRoute} from './model.js';
import type {Running, ServerState} from './server-state.js';
import {WorkTimes} from './work-times.js';

/**
 * Requests that may wait at a server beyond its slots: others' loads are known
 * late, and a slot should not stand empty for that time.
 */
const waitingAtServer = 1;
/** Servers of each region that are weighed first, in the object's order. */
const weighedOfRegion = 6;
/** How likely a server knows an object that no host is known to have sent there. */
const knownByRank = [0.3];
const knownOtherwise = 0.05;
/** How likely it still knows one that was lately sent there. */
/** Work takes a slot from others, too: it counts so much more than waiting does. */
const slotWeight = 0.7;
const knownBySending = 0.95;
/** A server without work for this long gets the next request that prefers it. */
const unusedTime: Milliseconds = 1500;
/** A server that failed last is weighed as if it took so much longer. */
const suspectFactor = 2;

export type PlaceRequest = {
	readonly route: SteeringRoute;
	readonly service: string;
	/** Undefined: any server is as good. */
	readonly object: string;
	readonly objectHash: number;
	/** Regions that may serve it; empty: all. */
	readonly homeRegions: readonly string[];
	readonly bodyBytes: number;
	readonly deadline: Milliseconds;
	/** Servers that it went to before. */
	readonly tried: ReadonlySet<string>;
};

/** A server and what led to it. */
export type Place = {
	readonly state: ServerState;
	readonly running: Running;
	readonly objectHash: number;
	readonly isWarm: boolean;
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

type Weighed = {
	/** Until the server knows the object; undefined: send at once. */
	readonly knownIn: Milliseconds | undefined;
	readonly state: ServerState;
	/** Until the answer is expected. */
	readonly time: Milliseconds;
	/** The time, and what the work takes from others. */
	readonly cost: Milliseconds;
	readonly work: Milliseconds;
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
	readonly #delays: Delays;
	readonly #handled: Array<{
		readonly server: string;
		readonly objectHash: number;
		readonly at: Milliseconds;
	}> = [];


	constructor(beliefs: Beliefs, limits: Limits) {
		this.#beliefs = beliefs;
		this.#limits = limits;
		this.#delays = new Delays(beliefs.settings.self);
	}

	/** Errors: no-server, no-room. */
	choose(
		request: PlaceRequest,
		now: Milliseconds,
	): Result<Place, PlaceProblem> {
		const order = this.#beliefs.fleet.findPool(request.service)?.rank(request.object);
		const usable = (order ?? []).filter((state) =>
			this.#isAllowed(state, request, now),
		);
		if (usable.length === 0) {
			return Result.err({kind: ErrorKind.NoServer, knownIn: undefined});
		}

		const best =
			this.#findUnused(usable, request, now) ??
			this.#findBest(toFirstOfRegions(usable), request, now) ??
			this.#findBest(usable, request, now);
		if (best === undefined) {
			return Result.err({kind: ErrorKind.NoRoom, knownIn: undefined});
		}

		if (best.knownIn !== undefined) {
			return Result.err({kind: ErrorKind.NoRoom, knownIn: best.knownIn});
		}

		return Result.ok(this.#take(best, request, usable.length, now));
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

		state.onAnswered(running, objectHash, now);
		this.#handled.push({server: state.server.id, objectHash, at: now});
		this.times.observe(route, place.isWarm, now - running.sentAt);
		return false;
	}

	/** Servers and the objects that they have handled since then. */
	listHandled(since: Milliseconds): Array<[server: string, object: number]> {
		while (this.#handled.length > 0 && this.#handled[0]!.at < since) {
			this.#handled.shift();
		}

		return this.#handled.map(({server, objectHash}) => [server, objectHash]);
	}

	#isAllowed(
		state: ServerState,
		{homeRegions, tried}: PlaceRequest,
		now: Milliseconds,
	): boolean {
		const {server} = state;
		return (
			state.isUsable(now) &&
			!tried.has(server.id) &&
			(homeRegions.length === 0 || homeRegions.includes(server.region)) &&
			(!state.isCold(now) ||
				this.#limits.cold.hasRoom(server.id, this.#getColdRate(state), now))
		);
	}

	/**
	 * The first server of this region in the object's order, if it has had no
	 * work of late: a server that joined would else wait for the others to be
	 * full, since none of its objects is known there.
	 */
	#findUnused(
		states: readonly ServerState[],
		request: PlaceRequest,
		now: Milliseconds,
	): Weighed | undefined {
		const {region} = this.#beliefs.settings.self;
		const first = states.find(({server}) => server.region === region);
		return first !== undefined && now - first.usedAt > unusedTime
			? this.#findBest([first], request, now)
			: undefined;
	}

	#findBest(
		states: readonly ServerState[],
		request: PlaceRequest,
		now: Milliseconds,
	): Weighed | undefined {
		const ranks = new Map<string, number>();
		let best: Weighed | undefined;
		for (const state of states) {
			const {region, slots} = state.server;
			const rank = ranks.get(region) ?? 0;
			ranks.set(region, rank + 1);
			const load = state.computeLoad(now);
			if (load >= slots + waitingAtServer) {
				continue;
			}

			const weighed = this.#weigh(state, request, {rank, load}, now);
			const canEnd = now + weighed.time < request.deadline;
			if (canEnd && (best === undefined || weighed.cost < best.cost)) {
				best = weighed;
			}
		}

		return best;
	}

	#weigh(
		state: ServerState,
		{route, objectHash, bodyBytes}: PlaceRequest,
		{rank, load}: {readonly rank: number; readonly load: number},
		now: Milliseconds,
	): Weighed {
		const {warm, cold} = this.times.get(route);
		const isKnown = state.hasHandled(objectHash);
		const knownIn = isKnown
			? undefined
			: state.findFirstWork(objectHash, now);
		const known =
			isKnown || knownIn !== undefined
				? knownBySending
				: (knownByRank[rank] ?? knownOtherwise);
		const work = known * warm + (1 - known) * cold;
		const {slots} = state.server;
		const wait = (Math.max(0, load - slots + 1) * work) / slots;
		const slowness =
			state.computeSlowness(now) * (state.isSuspect ? suspectFactor : 1);
		const way = this.#delays.compute(state.server, bodyBytes);
		const time = way + (knownIn ?? 0) + (wait + work) * slowness;
		const cost = time + work * slotWeight * slowness;
		return {state, load, work, time, cost, knownIn};
	}

	#take(
		{state, work, load, cost}: Weighed,
		{objectHash}: PlaceRequest,
		candidates: number,
		now: Milliseconds,
	): Place {
		const isWarm = state.hasHandled(objectHash);
		const running = {sentAt: now, expected: work, objectHash};
		state.onSent(running);
		if (state.isCold(now)) {
			const rate = this.#getColdRate(state);
			this.#limits.cold.take(state.server.id, rate, now);
		}

		return {state, running, objectHash, isWarm, load, candidates, expected: work};
	}

	#getColdRate({server}: ServerState): number {
		const service = this.#beliefs.configuration.findService(server.service);
		return service?.coldRatePerSecond ?? 1;
	}
}

export const placerKey = createServiceKey<Placer>('placer');

/** The first servers of each region, in the given order. */
function toFirstOfRegions(states: readonly ServerState[]): ServerState[] {
	const counts = new Map<string, number>();
	return states.filter(({server}) => {
		const count = counts.get(server.region) ?? 0;
		counts.set(server.region, count + 1);
		return count < weighedOfRegion;
	});
}
