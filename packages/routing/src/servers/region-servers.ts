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
import {Ranking, type Viewpoint} from './ranking.js';
import {ServerState, sumSlots} from './server-state.js';

const averageLifetime: Milliseconds = 10 * second;

/** A server without an end for so many service times has stalled. */
const toleratedServiceTimes = 5;
const shortestStall: Milliseconds = 100;

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

	/** Servers that are neither drained nor leaving, most preferred first. */
	get usable(): readonly ServerState[] {
		return this.#ranking.servers;
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
		const isOpen = (state: ServerState) =>
			!avoid.includes(state.server.name) && this.#isOpen(state, now);
		const open = this.#ranking.subset.filter((state) => isOpen(state));
		if (open.length > 0) {
			const nearest = this.#ranking.listNearest(this.#listMoving(open, now));
			return {kind: 'found', state: this.#chooser.choose(nearest, now)};
		}

		// Room is short: the next server by rank joins for as long as it is.
		const next = this.#ranking.servers.find((state) => isOpen(state));
		if (next !== undefined) {
			return {kind: 'found', state: next};
		}

		const isAllowed = this.#ranking.servers.some(
			(state) => !avoid.includes(state.server.name),
		);
		return {kind: isAllowed ? 'busy' : 'none'};
	}

	/** The server was ejected: it no longer counts as trusted. */
	onEjected(state: ServerState): void {
		this.#ejected.add(state);
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
		const slots = this.#ranking.servers.reduce(
			(sum, state) => sum + state.server.slots * state.slowStart.getWarmth(now),
			0,
		);
		const room = Math.floor(slots * (1 - headroom));
		return this.#ranking.servers.length === 0 ? 0 : Math.max(1, room);
	}

	/** Part of the usable slots that stands on servers not ejected here. */
	computeTrustedPart(now: Milliseconds): number {
		for (const state of this.#ejected) {
			if (!state.isUsable || state.health.getMode(now) !== 'ejected') {
				this.#ejected.delete(state);
			}
		}

		return this.#ejected.size === 0
			? 1
			: 1 - sumSlots([...this.#ejected]) / sumSlots(this.#ranking.servers);
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
		this.#ranking = new Ranking(usable, viewpoint);
	}

	#removeIdle(name: ServerName, state: ServerState): void {
		if (state.isRemoved && state.inFlight === 0) {
			this.#states.delete(name);
		}
	}
}
