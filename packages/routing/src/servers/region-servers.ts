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
import type {Place} from '../topology.js';
import {ServerState} from './server-state.js';
import {computeSubsetSize, rankServers} from './subset.js';

const averageLifetime: Milliseconds = 10 * second;

/** A server without an end for so many service times has stalled. */
const toleratedServiceTimes = 5;
const shortestStall: Milliseconds = 100;

/** Which entry host asks, and among how many. */
export type Viewpoint = {
	readonly hostName: string;
	readonly place: Place;
	readonly hostCount: number;
	/** Hosts in the failure domain of this one, itself included. */
	readonly neighbourCount: number;
};

export type ServerChoice =
	| {readonly kind: 'found'; readonly state: ServerState}
	/** Servers are there, but none may take more from this host now. */
	| {readonly kind: 'busy'}
	/** No server is there that the request may go to. */
	| {readonly kind: 'none'};

/** The backend servers of one pool in one region. */
export class RegionServers {
	readonly pool: PoolName;
	readonly region: RegionName;
	/** Requests of this host in the region. */
	inFlight = 0;
	/** Time that servers of the region take, without the way. */
	readonly serviceTime = new DecayingAverage(averageLifetime);
	/** Part of the attempts that failed. */
	readonly failureRate = new DecayingAverage(averageLifetime);
	readonly #states = new Map<ServerName, ServerState>();
	readonly #chooser: Chooser;
	readonly #safeguards: Safeguards;
	#ranked: ServerState[] = [];
	#subsetSize = 0;
	#place: Place | undefined;
	#nearLimit = 0;

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

	/** Servers that are neither drained nor leaving, most preferred first. */
	get usable(): readonly ServerState[] {
		return this.#ranked;
	}

	/** Puts the servers of a configuration in force. */
	applyServers(
		servers: readonly Server[],
		isDrained: (server: Server) => boolean,
		coldSince: Milliseconds | undefined,
		viewpoint: Viewpoint,
	): void {
		const names = new Set(servers.map((server) => server.name));
		for (const [name, state] of this.#states) {
			if (!names.has(name)) {
				state.isRemoved = true;
				this.#removeIdle(name, state);
			}
		}

		for (const server of servers) {
			this.#applyServer(server, isDrained(server), coldSince);
		}

		this.#applyRanking(viewpoint);
	}

	/** Chooses among the servers that may take one more request. */
	chooseServer(avoid: readonly ServerName[], now: Milliseconds): ServerChoice {
		const allowed = this.#ranked.filter(
			(state) => !avoid.includes(state.server.name),
		);
		if (allowed.length === 0) {
			return {kind: 'none'};
		}

		const open = allowed.filter((state) => this.#isOpen(state, now));
		if (open.length === 0) {
			return {kind: 'busy'};
		}

		const moving = this.#listMoving(open, now);
		const nearest = this.#listNearest(this.#listSubset(moving));
		return {kind: 'found', state: this.#chooser.choose(nearest, now)};
	}

	onStarted(state: ServerState, now: Milliseconds): void {
		if (state.inFlight === 0) {
			state.lastEndAt = now;
		}

		state.inFlight++;
		this.inFlight++;
	}

	onEnded(state: ServerState): void {
		state.inFlight--;
		this.inFlight--;
		this.#removeIdle(state.server.name, state);
	}

	/** Slots that decisions may fill: less headroom, cold servers by ramp. */
	computeRoom(headroom: number, now: Milliseconds): number {
		const slots = this.#ranked.reduce(
			(sum, state) => sum + state.server.slots * state.slowStart.getWarmth(now),
			0,
		);
		const room = Math.floor(slots * (1 - headroom));
		return this.#ranked.length === 0 ? 0 : Math.max(1, room);
	}

	/** Part of the usable slots that stands on servers not ejected here. */
	computeTrustedPart(now: Milliseconds): number {
		const trusted = sumSlots(
			this.#ranked.filter((state) => state.health.getMode(now) !== 'ejected'),
		);
		return this.#ranked.length === 0 ? 0 : trusted / sumSlots(this.#ranked);
	}

	#isOpen(state: ServerState, now: Milliseconds): boolean {
		const mode = this.#safeguards.ejection
			? state.health.getMode(now)
			: 'healthy';
		if (mode === 'ejected') {
			return false;
		}

		if (mode === 'half-open') {
			return state.inFlight === 0;
		}

		return (
			!this.#safeguards.serverSlots || state.inFlight < state.getLimit(now)
		);
	}

	/** Those that answer, or all when none does: long requests look alike. */
	#listMoving(
		open: readonly ServerState[],
		now: Milliseconds,
	): readonly ServerState[] {
		const tolerance = Math.max(
			shortestStall,
			toleratedServiceTimes * (this.serviceTime.get(now) ?? 0),
		);
		const moving = open.filter((state) => !state.isStalled(tolerance, now));
		return moving.length > 0 ? moving : open;
	}

	/** The open servers of the subset; beyond it only when it has none. */
	#listSubset(open: readonly ServerState[]): readonly ServerState[] {
		const subset = new Set(this.#ranked.slice(0, this.#subsetSize));
		const inside = open.filter((state) => subset.has(state));
		return inside.length > 0 ? inside : open.slice(0, 1);
	}

	/**
	 * Those of this host's failure domain, up to its part of their slots. Own
	 * counts decide alone: a report that lags or lies must not send requests
	 * the long way, where each holds its slot for longer.
	 */
	#listNearest(open: readonly ServerState[]): readonly ServerState[] {
		const near = open.filter((state) => this.#isNear(state));
		const own = this.#ranked
			.filter((state) => this.#isNear(state))
			.reduce((sum, state) => sum + state.inFlight, 0);
		return near.length > 0 && own < this.#nearLimit ? near : open;
	}

	#isNear(state: ServerState): boolean {
		const place = this.#place;
		return (
			place?.region === this.region &&
			state.server.failureDomain === place.failureDomain
		);
	}

	#applyServer(
		server: Server,
		isDrained: boolean,
		coldSince: Milliseconds | undefined,
	): void {
		const state = this.#states.get(server.name);
		if (state === undefined) {
			const created = new ServerState(server, coldSince);
			created.isDrained = isDrained;
			this.#states.set(server.name, created);
			return;
		}

		if (state.isDrained && !isDrained && coldSince !== undefined) {
			state.slowStart.start(coldSince);
		}

		state.setServer(server);
		state.isRemoved = false;
		state.isDrained = isDrained;
	}

	#applyRanking(viewpoint: Viewpoint): void {
		const usable = [...this.#states.values()].filter(
			(state) => !this.#safeguards.drains || state.isUsable,
		);
		this.#place = viewpoint.place;
		this.#ranked = rankServers(viewpoint.hostName, usable);
		this.#subsetSize = computeSubsetSize(
			viewpoint.hostCount,
			usable.map((state) => state.server),
		);
		this.#nearLimit = Math.ceil(
			sumSlots(usable.filter((state) => this.#isNear(state))) /
				viewpoint.neighbourCount,
		);
	}

	#removeIdle(name: ServerName, state: ServerState): void {
		if (state.isRemoved && state.inFlight === 0) {
			this.#states.delete(name);
		}
	}
}

function sumSlots(states: readonly ServerState[]): number {
	return states.reduce((sum, state) => sum + state.server.slots, 0);
}
