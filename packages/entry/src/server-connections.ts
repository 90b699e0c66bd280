import type {Clock, Milliseconds} from '@parsleyvale/shared';
import type {BackendServer} from '@parsleyvale/steering';
import {ServerConnection} from './server-connection.js';

/**
 * A non-idempotent request reuses only connections that were used within this
 * time: if the server closes an idle connection just as a request is sent, it
 * is unknown whether the request was run.
 */
const maximumIdleTimeNonIdempotent: Milliseconds = 800;
/** Limit for idempotent requests, which can be retried if the server closes the connection. */
const maximumIdleTime: Milliseconds = 6000;

/** Reuses connections to backend servers across requests. */
export class ServerConnections {
	readonly #clock: Clock;
	readonly #requestIdHeader: string;
	readonly #idleConnections = new Map<string, ServerConnection[]>();
	readonly #openConnections = new Set<ServerConnection>();
	#openedCount = 0;

	constructor(clock: Clock, requestIdHeader: string) {
		this.#clock = clock;
		this.#requestIdHeader = requestIdHeader;
	}

	/** Number of connections opened so far. */
	get openedCount(): number {
		return this.#openedCount;
	}

	get openCount(): number {
		return this.#openConnections.size;
	}

	/** Returns the most recently used idle connection if it is recent enough, or a new one. */
	acquire(server: BackendServer, isIdempotent: boolean): ServerConnection {
		const now = this.#clock.now();
		const idleLimit = isIdempotent
			? maximumIdleTime
			: maximumIdleTimeNonIdempotent;
		const idleConnections =
			this.#idleConnections.get(createServerKey(server)) ?? [];
		const newest = idleConnections.at(-1);
		if (newest?.isUsable(now) && now - newest.lastUsedAt < idleLimit) {
			idleConnections.pop();
			return newest;
		}

		for (const expired of idleConnections.filter(
			(other) => !other.isUsable(now),
		)) {
			expired.close();
		}

		return this.#connect(server);
	}

	/** Closes the idle connections of a server that were last used before the given time. */
	closeIdleBefore(server: BackendServer, time: Milliseconds): void {
		const idleConnections =
			this.#idleConnections.get(createServerKey(server)) ?? [];
		for (const connection of idleConnections.filter(
			({lastUsedAt}) => lastUsedAt < time,
		)) {
			connection.close();
		}
	}

	close(): void {
		for (const connection of this.#openConnections) {
			connection.close();
		}
	}

	#connect(server: BackendServer): ServerConnection {
		const key = createServerKey(server);
		this.#openedCount += 1;
		const connection = new ServerConnection({
			address: server.address,
			port: server.port,
			clock: this.#clock,
			requestIdHeader: this.#requestIdHeader,
			onIdle: (idleConnection) => {
				const idleConnections = this.#idleConnections.get(key) ?? [];
				idleConnections.push(idleConnection);
				this.#idleConnections.set(key, idleConnections);
			},
			onClosed: (closedConnection) => {
				this.#openConnections.delete(closedConnection);
				this.#removeIdle(key, closedConnection);
			},
		});
		this.#openConnections.add(connection);
		return connection;
	}

	#removeIdle(key: string, closedConnection: ServerConnection): void {
		const idleConnections =
			this.#idleConnections
				.get(key)
				?.filter((other) => other !== closedConnection) ?? [];
		if (idleConnections.length === 0) {
			this.#idleConnections.delete(key);
		} else {
			this.#idleConnections.set(key, idleConnections);
		}
	}
}

/** Includes the incarnation: connections to an earlier one must not be reused. */
function createServerKey({
	id,
	incarnation,
	address,
	port,
}: BackendServer): string {
	return `${id}/${incarnation}/${address}:${port}`;
}
