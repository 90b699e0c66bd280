import type {Milliseconds} from '@parsleyvale/shared';
import {LoadControl} from '../load-control.js';
import type {BackendServer} from '../model.js';
import {
	comparePositions,
	unreadPosition,
	type StorePosition,
} from '../store-position.js';
import {CachedObjectIndex} from './cached-object-index.js';
import {CacheSizeEstimator} from './object-memory.js';
import {LoadEstimate, ReportTimes, type RemoteCount} from './load-estimate.js';
import {ServerState} from './server-state.js';
import {ServicePool} from './service-pool.js';

/**
 * A change from one list of servers to the next. `restarted` includes a change of
 * service; a `missing` server is still used, until it has left or reappeared.
 */
export type ServerChange = {
	readonly server: BackendServer;
	readonly kind: 'joined' | 'left' | 'draining' | 'restarted' | 'missing';
};

/** Servers and evacuated failure domains, each at a position of the store. */
export type ServerTableSnapshot = {
	readonly position: StorePosition;
	readonly servers: readonly BackendServer[];
	/** Position of the evacuated failure domains, which are versioned apart from the servers. */
	readonly evacuationsPosition: StorePosition;
	readonly evacuated: readonly string[];
};

/** All backend servers known to this host. */
export class ServerTable {
	/** Servers by the objects that they have cached. */
	readonly cachedObjects = new CachedObjectIndex();
	#position = unreadPosition;
	#evacuationsPosition = unreadPosition;
	#evacuated: ReadonlySet<string> = new Set();
	/** Estimated cache size of the servers of each service. */
	readonly #cacheEstimators = new Map<string, CacheSizeEstimator>();
	readonly #states = new Map<string, ServerState>();
	readonly #pools = new Map<string, ServicePool>();
	/** Servers that are missing in the list and not removed yet. */
	readonly #missing = new Set<string>();
	/** Requests in flight at each server, and when that was reported, by the other host that sent them. */
	readonly #reportsByHost = new Map<
		string,
		{
			readonly inFlight: Readonly<Record<string, number>>;
			readonly at: Milliseconds;
		}
	>();

	readonly #reportTimes = new ReportTimes();
	readonly #loadControl: LoadControl;

	constructor(loadControl = new LoadControl(false)) {
		this.#loadControl = loadControl;
	}

	/** Position of the list of servers. */
	get position(): StorePosition {
		return this.#position;
	}

	/** Position of the evacuated failure domains. */
	get evacuationsPosition(): StorePosition {
		return this.#evacuationsPosition;
	}

	/** Whether a list of servers has been applied. */
	get isRead(): boolean {
		return this.#position.revision >= 0;
	}

	get states(): ReadonlyMap<string, ServerState> {
		return this.#states;
	}

	/**
	 * Applies the lists unless newer ones have been applied, and returns the
	 * changes. Until `outdatedUntil`, entries may be missing or older after an outage:
	 * servers that are missing in the list are kept, no drain is taken back, and no
	 * startup is cut short.
	 */
	apply(
		snapshot: ServerTableSnapshot,
		now: Milliseconds,
		outdatedUntil: Milliseconds,
	): ServerChange[] {
		const changes =
			comparePositions(snapshot.position, this.#position) < 0
				? []
				: this.#applyServers(snapshot, now, outdatedUntil);
		const {evacuationsPosition} = snapshot;
		if (comparePositions(evacuationsPosition, this.#evacuationsPosition) >= 0) {
			this.#evacuationsPosition = evacuationsPosition;
			this.#evacuated = new Set(snapshot.evacuated);
		}

		for (const state of this.#states.values()) {
			state.isEvacuated = this.#evacuated.has(state.server.failureDomain);
		}

		this.#rebuildPools();

		return changes;
	}

	/** Removes servers whose entries have not reappeared in time. */
	removeMissing(now: Milliseconds): ServerChange[] {
		if (this.#missing.size === 0) {
			return [];
		}

		const changes = this.#removeMissing(now);
		if (changes.length > 0) {
			this.#rebuildPools();
		}

		return changes;
	}

	/** Applies the requests that another host reports in flight at each server. */
	applyRemoteLoad(
		hostName: string,
		inFlight: Readonly<Record<string, number>>,
		now: Milliseconds,
	): void {
		const previous = this.#reportsByHost.get(hostName);
		for (const [id, count] of Object.entries(previous?.inFlight ?? {})) {
			const next = {count: inFlight[id] ?? 0, at: now};
			this.#applyRemoteCount(id, {count, at: previous!.at}, next, now);
		}

		for (const [id, count] of Object.entries(inFlight)) {
			if (previous?.inFlight[id] === undefined) {
				this.#applyRemoteCount(id, {count: 0, at: now}, {count, at: now}, now);
			}
		}

		if (Object.keys(inFlight).length === 0) {
			this.#reportsByHost.delete(hostName);
		} else {
			this.#reportsByHost.set(hostName, {inFlight, at: now});
		}
	}

	/** Names of the other hosts that have requests in flight, by their last reports. */
	listHostsWithLoad(): readonly string[] {
		return [...this.#reportsByHost.keys()];
	}

	/** Returns the estimator of how many objects servers of the service cache. */
	getCacheEstimator(service: string): CacheSizeEstimator {
		const estimator =
			this.#cacheEstimators.get(service) ?? new CacheSizeEstimator();
		this.#cacheEstimators.set(service, estimator);
		return estimator;
	}

	findPool(service: string): ServicePool | undefined {
		return this.#pools.get(service);
	}

	/** Names of the services that have had servers. */
	listServices(): Iterable<string> {
		return this.#pools.keys();
	}

	#applyRemoteCount(
		id: string,
		previous: RemoteCount,
		next: RemoteCount,
		now: Milliseconds,
	): void {
		this.#reportTimes.onRemoteCount(previous, next);
		this.#states.get(id)?.onRemoteCount(previous, next, now);
	}

	#applyServers(
		{position, servers}: ServerTableSnapshot,
		now: Milliseconds,
		outdatedUntil: Milliseconds,
	): ServerChange[] {
		this.#position = position;
		const missing = this.#markMissing(servers, outdatedUntil);
		const changes = [
			...this.#removeMissing(now),
			...missing.filter(({server}) => this.#missing.has(server.id)),
		];
		for (const server of servers) {
			const change = this.#update(server, now, outdatedUntil);
			if (change !== undefined) {
				changes.push({server, kind: change});
			}
		}

		return changes;
	}

	/** Returns the servers that were in the list before. */
	#markMissing(
		servers: readonly BackendServer[],
		removeMissingAt: Milliseconds,
	): ServerChange[] {
		const present = new Set(servers.map(({id}) => id));
		const changes: ServerChange[] = [];
		this.#missing.clear();
		for (const [id, state] of this.#states) {
			const isPresent = present.has(id);
			if (!isPresent && state.removeMissingAt === undefined) {
				changes.push({server: state.server, kind: 'missing'});
			}

			state.removeMissingAt = isPresent
				? undefined
				: (state.removeMissingAt ?? removeMissingAt);
			if (!isPresent) {
				this.#missing.add(id);
			}
		}

		return changes;
	}

	#removeMissing(now: Milliseconds): ServerChange[] {
		const changes: ServerChange[] = [];
		for (const id of this.#missing) {
			const state = this.#states.get(id);
			const removeMissingAt = state?.removeMissingAt;
			if (removeMissingAt !== undefined && removeMissingAt <= now) {
				state!.onLeft();
				this.#states.delete(id);
				this.#missing.delete(id);
				changes.push({server: state!.server, kind: 'left'});
			}
		}

		return changes;
	}

	#update(
		server: BackendServer,
		now: Milliseconds,
		outdatedUntil: Milliseconds,
	): ServerChange['kind'] | undefined {
		const state = this.#states.get(server.id);
		const isRestarted =
			state !== undefined && state.server.incarnation !== server.incarnation;
		if (state === undefined || isRestarted) {
			state?.onLeft();
			const created = this.#createState(server, now);
			this.#states.set(server.id, created);
			if (isRestarted) {
				created.onRestarted(now);
			}

			return isRestarted ? 'restarted' : 'joined';
		}

		const previous = state.server;
		if (previous.coldRemainingMs !== server.coldRemainingMs) {
			const startingUntil = now + server.coldRemainingMs;
			state.startingUntil =
				now < outdatedUntil
					? Math.max(state.startingUntil, startingUntil)
					: startingUntil;
		}

		if (previous.service !== server.service) {
			state.server = server;
			return 'restarted';
		}

		// A store that returned from a copy may have entries from before the drain.
		const isDraining =
			server.isDraining || (previous.isDraining && now < outdatedUntil);
		state.server = {...server, isDraining};
		return isDraining && !previous.isDraining ? 'draining' : undefined;
	}

	#createState(server: BackendServer, now: Milliseconds): ServerState {
		const state = new ServerState(
			server,
			now,
			this.cachedObjects,
			this.getCacheEstimator(server.service),
		);
		state.useLoadEstimate(
			new LoadEstimate(this.#reportTimes),
			this.#loadControl,
		);
		return state;
	}

	#rebuildPools(): void {
		const byService = new Map<string, ServerState[]>();
		for (const state of this.#states.values()) {
			if (state.server.isDraining || state.isEvacuated) {
				continue;
			}

			const serviceStates = byService.get(state.server.service) ?? [];
			serviceStates.push(state);
			byService.set(state.server.service, serviceStates);
		}

		for (const [service, pool] of this.#pools) {
			pool.setServers(byService.get(service) ?? []);
		}

		for (const [service, states] of byService) {
			if (!this.#pools.has(service)) {
				const pool = new ServicePool();
				pool.setServers(states);
				this.#pools.set(service, pool);
			}
		}
	}
}
