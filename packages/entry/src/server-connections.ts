import type {Clock, Milliseconds} from '@parsleyvale/shared';
import type {BackendServer} from '@parsleyvale/steering';
import {ServerConnection} from './server-connection.js';

/**
 * A request that may run once goes only on a connection that was used within
 * this time: a server may drop an idle one, and what was sent is then unknown.
 */
const longestRestForOnce: Milliseconds = 800;
/** Others wait at most this long between requests; they can be sent again. */
const longestRest: Milliseconds = 6000;

/** Connections to backend servers that are kept between requests. */
export class ServerConnections {
	readonly #clock: Clock;
	readonly #requestIdName: string;
	readonly #idle = new Map<string, ServerConnection[]>();
	readonly #open = new Set<ServerConnection>();
	#opened = 0;

	constructor(clock: Clock, requestIdName: string) {
		this.#clock = clock;
		this.#requestIdName = requestIdName;
	}

	/** Connections opened so far. */
	get opened(): number {
		return this.#opened;
	}

	get size(): number {
		return this.#open.size;
	}

	/** A kept connection that is fresh enough, or a new one. */
	take(server: BackendServer, isIdempotent: boolean): ServerConnection {
		const now = this.#clock.now();
		const rest = isIdempotent ? longestRest : longestRestForOnce;
		const idle = this.#idle.get(toKey(server)) ?? [];
		const newest = idle.at(-1);
		if (newest?.isFresh(now) && now - newest.usedAt < rest) {
			idle.pop();
			return newest;
		}

		for (const stale of idle.filter((other) => !other.isFresh(now))) {
			stale.close();
		}

		return this.#connect(server);
	}

	/** Closes kept connections that were last used before then. */
	closeOlder(server: BackendServer, then: Milliseconds): void {
		const idle = this.#idle.get(toKey(server)) ?? [];
		for (const connection of idle.filter(({usedAt}) => usedAt < then)) {
			connection.close();
		}
	}

	close(): void {
		for (const connection of this.#open) {
			connection.close();
		}
	}

	#connect(server: BackendServer): ServerConnection {
		const key = toKey(server);
		this.#opened += 1;
		const connection = new ServerConnection({
			address: server.address,
			port: server.port,
			clock: this.#clock,
			requestIdName: this.#requestIdName,
			onIdle: (idle) => {
				const kept = this.#idle.get(key) ?? [];
				kept.push(idle);
				this.#idle.set(key, kept);
			},
			onClosed: (closed) => {
				this.#open.delete(closed);
				this.#removeIdle(key, closed);
			},
		});
		this.#open.add(connection);
		return connection;
	}

	#removeIdle(key: string, closed: ServerConnection): void {
		const kept = this.#idle.get(key)?.filter((other) => other !== closed) ?? [];
		if (kept.length === 0) {
			this.#idle.delete(key);
		} else {
			this.#idle.set(key, kept);
		}
	}
}

/** Another start of a server has connections of its own. */
function toKey({id, incarnation, address, port}: BackendServer): string {
	return `${id}/${incarnation}/${address}:${port}`;
}
