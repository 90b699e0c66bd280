import type {Milliseconds} from '@parsleyvale/shared';
import {KnownObjects} from './known-objects.js';
import type {BackendServer} from './model.js';
import {ObjectMemory} from './object-memory.js';
import {ServerState} from './server-state.js';
import {ServicePool} from './service-pool.js';

/** What changed between two lists of servers. */
export type FleetChange = {
	readonly server: BackendServer;
	readonly change: 'joined' | 'left' | 'draining' | 'restarted';
};

/** Servers and evacuated failure domains, each at a revision of the store. */
export type FleetList = {
	readonly revision: number;
	readonly servers: readonly BackendServer[];
	/** Revision of the list of evacuated failure domains: each kind has its own. */
	readonly evacuationsRevision: number;
	readonly evacuated: readonly string[];
};

/** All backend servers that this host knows. */
export class Fleet {
	/** Servers by the objects that they have at hand. */
	readonly known = new KnownObjects();
	#revision = -1;
	#evacuationsRevision = -1;
	#evacuated: ReadonlySet<string> = new Set();
	/** What servers of each service keep at hand. */
	readonly #memories = new Map<string, ObjectMemory>();
	readonly #states = new Map<string, ServerState>();
	readonly #pools = new Map<string, ServicePool>();
	/** For each other host, its requests that run at each server. */
	readonly #loads = new Map<string, Readonly<Record<string, number>>>();

	/** Revision of the store that the list shows; -1 before the first. */
	get revision(): number {
		return this.#revision;
	}

	/** The same for the evacuated failure domains. */
	get evacuationsRevision(): number {
		return this.#evacuationsRevision;
	}

	get states(): ReadonlyMap<string, ServerState> {
		return this.#states;
	}

	/**
	 * Puts lists in force, unless newer ones are; tells what changed. Servers
	 * that they miss go, or stay until `keepMissingUntil` if that is ahead.
	 */
	apply(
		list: FleetList,
		now: Milliseconds,
		keepMissingUntil: Milliseconds,
	): FleetChange[] {
		const changes =
			list.revision < this.#revision
				? []
				: this.#applyServers(list, now, keepMissingUntil);
		if (list.evacuationsRevision >= this.#evacuationsRevision) {
			this.#evacuationsRevision = list.evacuationsRevision;
			this.#evacuated = new Set(list.evacuated);
		}

		for (const state of this.#states.values()) {
			state.isEvacuated = this.#evacuated.has(state.server.failureDomain);
		}

		this.#rebuildPools();

		return changes;
	}

	/** Removes servers whose entries have not come back in time. */
	removeMissing(now: Milliseconds): FleetChange[] {
		const changes = this.#removeMissing(now);
		if (changes.length > 0) {
			this.#rebuildPools();
		}

		return changes;
	}

	/** Takes the requests of another host that run at each server. */
	applyLoad(host: string, inFlight: Readonly<Record<string, number>>): void {
		for (const [id, count] of Object.entries(this.#loads.get(host) ?? {})) {
			this.#addLoad(id, -count);
		}

		for (const [id, count] of Object.entries(inFlight)) {
			this.#addLoad(id, count);
		}

		this.#loads.set(host, inFlight);
	}

	/** How many objects servers of the service keep at hand. */
	getMemory(service: string): ObjectMemory {
		const memory = this.#memories.get(service) ?? new ObjectMemory();
		this.#memories.set(service, memory);
		return memory;
	}

	findPool(service: string): ServicePool | undefined {
		return this.#pools.get(service);
	}

	#addLoad(id: string, count: number): void {
		const state = this.#states.get(id);
		if (state !== undefined) {
			state.othersInFlight = Math.max(0, state.othersInFlight + count);
			state.isUsed = true;
		}
	}

	#applyServers(
		{revision, servers}: FleetList,
		now: Milliseconds,
		keepMissingUntil: Milliseconds,
	): FleetChange[] {
		this.#revision = revision;
		this.#markMissing(servers, keepMissingUntil);
		const changes = this.#removeMissing(now);
		for (const server of servers) {
			const change = this.#update(server, now);
			if (change !== undefined) {
				changes.push({server, change});
			}
		}

		return changes;
	}

	#markMissing(servers: readonly BackendServer[], until: Milliseconds): void {
		const present = new Set(servers.map(({id}) => id));
		for (const [id, state] of this.#states) {
			state.missingUntil = present.has(id)
				? undefined
				: (state.missingUntil ?? until);
		}
	}

	#removeMissing(now: Milliseconds): FleetChange[] {
		const changes: FleetChange[] = [];
		for (const [id, {server, missingUntil}] of this.#states) {
			if (missingUntil !== undefined && missingUntil <= now) {
				this.#states.get(id)?.onLeft();
				this.#states.delete(id);
				changes.push({server, change: 'left'});
			}
		}

		return changes;
	}

	#update(
		server: BackendServer,
		now: Milliseconds,
	): FleetChange['change'] | undefined {
		const state = this.#states.get(server.id);
		const isRestarted =
			state !== undefined && state.server.incarnation !== server.incarnation;
		if (state === undefined || isRestarted) {
			state?.onLeft();
			this.#states.set(server.id, this.#createState(server, now));
			return isRestarted ? 'restarted' : 'joined';
		}

		const before = state.server;
		if (before.coldRemainingMs !== server.coldRemainingMs) {
			state.coldUntil = now + server.coldRemainingMs;
		}

		state.server = server;
		if (before.service !== server.service) {
			return 'restarted';
		}

		return server.isDraining && !before.isDraining ? 'draining' : undefined;
	}

	#createState(server: BackendServer, now: Milliseconds): ServerState {
		return new ServerState(
			server,
			now,
			this.known,
			this.getMemory(server.service),
		);
	}

	#rebuildPools(): void {
		const byService = new Map<string, ServerState[]>();
		for (const state of this.#states.values()) {
			if (state.server.isDraining || state.isEvacuated) {
				continue;
			}

			const ofService = byService.get(state.server.service) ?? [];
			ofService.push(state);
			byService.set(state.server.service, ofService);
		}

		for (const [service, pool] of this.#pools) {
			pool.set(byService.get(service) ?? []);
		}

		for (const [service, states] of byService) {
			if (!this.#pools.has(service)) {
				const pool = new ServicePool();
				pool.set(states);
				this.#pools.set(service, pool);
			}
		}
	}
}
