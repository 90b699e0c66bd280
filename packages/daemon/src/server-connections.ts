import {Pool} from 'undici';
import type {Configuration, Milliseconds, Server} from '@parsleyvale/shared';

const connectTimeout: Milliseconds = 1000;
const idleTimeout: Milliseconds = 60_000;

/** Pools of persistent connections to backend servers, at most one per slot. */
export class ServerConnections {
	readonly #pools = new Map<string, Pool>();

	getPool(server: Server): Pool {
		const origin = toOrigin(server);
		const existing = this.#pools.get(origin);
		if (existing !== undefined) {
			return existing;
		}

		const pool = new Pool(origin, {
			connections: Math.min(server.slots, server.connections),
			pipelining: 1,
			connect: {timeout: connectTimeout},
			keepAliveTimeout: idleTimeout,
			// The kernel enforces deadlines; slow responses do not time out here.
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.#pools.set(origin, pool);
		return pool;
	}

	/** Closes connections to servers that are no longer configured. */
	onConfigurationChanged(configuration: Configuration): void {
		const servers = configuration.pools.flatMap((pool) => pool.servers);
		const origins = new Set(servers.map((server) => toOrigin(server)));
		for (const [origin, pool] of this.#pools) {
			if (!origins.has(origin)) {
				this.#pools.delete(origin);
				void pool.close();
			}
		}
	}

	async close(): Promise<void> {
		const pools = [...this.#pools.values()];
		this.#pools.clear();
		await Promise.all(pools.map(async (pool) => pool.destroy()));
	}
}

function toOrigin(server: Server): string {
	const host = server.address.includes(':')
		? `[${server.address}]`
		: server.address;
	return `http://${host}:${server.port}`;
}
