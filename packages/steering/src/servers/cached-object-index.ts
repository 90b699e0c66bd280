import type {ServerState} from './server-state.js';

/** Index of the servers that recently handled an object, according to this and other hosts. */
export class CachedObjectIndex {
	readonly #servers = new Map<number, Set<ServerState>>();

	/** Servers of any service that recently handled the object. */
	list(objectHash: number): Iterable<ServerState> {
		return this.#servers.get(objectHash) ?? [];
	}

	add(objectHash: number, state: ServerState): void {
		const servers = this.#servers.get(objectHash) ?? new Set();
		servers.add(state);
		this.#servers.set(objectHash, servers);
	}

	remove(objectHash: number, state: ServerState): void {
		const servers = this.#servers.get(objectHash);
		servers?.delete(state);
		if (servers?.size === 0) {
			this.#servers.delete(objectHash);
		}
	}
}
