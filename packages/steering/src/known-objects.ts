import type {ServerState} from './server-state.js';

/** Which servers have an object at hand, as far as this host has heard. */
export class KnownObjects {
	readonly #servers = new Map<number, Set<ServerState>>();

	/** Servers that handled the object lately, of any service. */
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
