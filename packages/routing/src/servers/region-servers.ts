import {
	second,
	type Milliseconds,
	type PoolName,
	type RegionName,
	type Server,
	type ServerName,
} from '@parsleyvale/shared';
import type {Chooser} from '../choosers/chooser.js';
import {DecayingAverage} from '../decaying-average.js';
import type {Safeguards} from '../safeguards.js';
import {Ranking, type LocalHost} from './ranking.js';
import {ServerState, sumSlots} from './server-state.js';

const averageLifetime: Milliseconds = 10 * second;

/** A server has stalled if no attempt ended for this many service times. */
const stallServiceTimeFactor = 5;
const minimumStallTime: Milliseconds = 100;

export type ServerChoice =
	| {readonly kind: 'found'; readonly state: ServerState}
	/** Servers are eligible, but none can take another request from this host at present. */
	| {readonly kind: 'busy'}
	/** No server is eligible: the request was already sent to all servers in service. */
	| {readonly kind: 'none'};

/** Backend servers of a pool in a region. */
export class RegionServers {
	readonly pool: PoolName;
	readonly region: RegionName;
	/** Number of requests of this host in flight in the region. */
	inFlight = 0;
	/** Service time in the region, excluding the network round trip. */
	readonly serviceTime = new DecayingAverage(averageLifetime);
	/** Fraction of attempts that failed. */
	readonly failureRate = new DecayingAverage(averageLifetime);
	readonly #states = new Map<ServerName, ServerState>();
	readonly #ejected = new Set<ServerState>();
	readonly #chooser: Chooser;
	readonly #safeguards: Safeguards;
	#ranking = new Ranking([], undefined);

	constructor(options: {
		readonly pool: PoolName;
		readonly region: RegionName;
		readonly chooser: Chooser;
		readonly safeguards: Safeguards;
	}) {
		this.pool = options.pool;
		this.region = options.region;
		this.#chooser = options.chooser;
		this.#safeguards = options.safeguards;
	}

	/** Servers that are neither drained, leaving nor removed, in order of preference; includes ejected ones. */
	get inService(): readonly ServerState[] {
		return this.#ranking.servers;
	}

	/** Applies the servers of a new configuration. */
	applyServers(
		servers: readonly Server[],
		isDrained: (server: Server) => boolean,
		rampStartedAt: Milliseconds | undefined,
		localHost: LocalHost,
	): void {
		const names = new Set(servers.map((server) => server.name));
		for (const [name, state] of this.#states) {
			if (!names.has(name)) {
				state.isRemoved = true;
				this.#removeIdle(name, state);
			}
		}

		for (const server of servers) {
			this.#applyServer(server, isDrained(server), rampStartedAt);
		}

		this.#applyRanking(localHost);
	}

	/** Chooses one of the servers that can take another request. */
	chooseServer(
		triedServers: readonly ServerName[],
		now: Milliseconds,
	): ServerChoice {
		const isAvailable = (state: ServerState) =>
			!triedServers.includes(state.server.name) &&
			this.#isAvailable(state, now);
		const available = this.#ranking.subset.filter((state) =>
			isAvailable(state),
		);
		if (available.length > 0) {
			const preferred = this.#ranking.preferSameDomain(
				this.#listResponsive(available, now),
			);
			return {kind: 'found', state: this.#chooser.choose(preferred, now)};
		}

		// While the subset is full, use the next server by rank.
		const next = this.#ranking.servers.find((state) => isAvailable(state));
		if (next !== undefined) {
			return {kind: 'found', state: next};
		}

		const isAllowed = this.#ranking.servers.some(
			(state) => !triedServers.includes(state.server.name),
		);
		return {kind: isAllowed ? 'busy' : 'none'};
	}

	/** Records an ejected server. */
	onEjected(state: ServerState): void {
		this.#ejected.add(state);
	}

	onStarted(state: ServerState, now: Milliseconds): void {
		if (state.inFlight === 0) {
			state.lastProgressAt = now;
		}

		state.inFlight++;
		this.inFlight++;
	}

	onEnded(state: ServerState): void {
		state.inFlight--;
		this.inFlight--;
		this.#removeIdle(state.server.name, state);
	}

	/** Computes the capacity in slots after headroom and slow start. */
	computeCapacity(headroom: number, now: Milliseconds): number {
		const slots = this.#ranking.servers.reduce(
			(sum, state) =>
				sum + state.server.slots * state.slowStart.getRampFraction(now),
			0,
		);
		const capacity = Math.floor(slots * (1 - headroom));
		return this.#ranking.servers.length === 0 ? 0 : Math.max(1, capacity);
	}

	/**
	 * Computes the fraction of the slots in service on servers that this host has
	 * not ejected.
	 */
	computeNonEjectedFraction(now: Milliseconds): number {
		for (const state of this.#ejected) {
			if (!state.isInService || state.health.getMode(now) !== 'ejected') {
				this.#ejected.delete(state);
			}
		}

		return this.#ejected.size === 0
			? 1
			: 1 - sumSlots([...this.#ejected]) / sumSlots(this.#ranking.servers);
	}

	#isAvailable(state: ServerState, now: Milliseconds): boolean {
		const mode = this.#safeguards.excludeEjected
			? state.health.getMode(now)
			: 'healthy';
		if (mode === 'ejected') {
			return false;
		}

		if (mode === 'half-open') {
			return state.inFlight === 0;
		}

		return (
			!this.#safeguards.limitInFlight ||
			state.inFlight < state.getInFlightLimit(now)
		);
	}

	/**
	 * Excludes stalled servers, unless all are stalled: long requests cannot be
	 * told apart from a stall.
	 */
	#listResponsive(
		available: readonly ServerState[],
		now: Milliseconds,
	): readonly ServerState[] {
		const tolerance = Math.max(
			minimumStallTime,
			stallServiceTimeFactor * (this.serviceTime.get(now) ?? 0),
		);
		const responsive = available.filter(
			(state) => !state.isStalled(tolerance, now),
		);
		return responsive.length > 0 ? responsive : available;
	}

	#applyServer(
		server: Server,
		isDrained: boolean,
		rampStartedAt: Milliseconds | undefined,
	): void {
		const state = this.#states.get(server.name);
		if (state === undefined) {
			const newState = new ServerState(server, rampStartedAt);
			newState.isDrained = isDrained;
			this.#states.set(server.name, newState);
			return;
		}

		if (state.isDrained && !isDrained && rampStartedAt !== undefined) {
			state.slowStart.start(rampStartedAt);
		}

		state.setServer(server);
		state.isRemoved = false;
		state.isDrained = isDrained;
	}

	#applyRanking(localHost: LocalHost): void {
		const inService = [...this.#states.values()].filter(
			(state) => !this.#safeguards.excludeDrained || state.isInService,
		);
		this.#ranking = new Ranking(inService, localHost);
	}

	#removeIdle(name: ServerName, state: ServerState): void {
		if (state.isRemoved && state.inFlight === 0) {
			this.#states.delete(name);
		}
	}
}
