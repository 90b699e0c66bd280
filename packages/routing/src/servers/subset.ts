import {createHash} from 'node:crypto';
import type {Server} from '@parsleyvale/shared';

/** Fraction of a server's connections that all entry hosts together may use. */
const connectionFraction = 0.25;
/**
 * Default number of servers that a host keeps connections to, if limits permit.
 */
const defaultSubsetSize = 16;
/** Minimum number of hosts for each server, to balance load. */
const minimumHostsPerServer = 4;
/** Minimum subset size, to leave a choice when one server fails. */
const minimumSubsetSize = 3;

/**
 * Sorts servers by preference of a host, using rendezvous hashing. The order
 * differs between hosts and is stable when servers are added or removed.
 *
 * @example
 * rankServers('tpe-a-1', pool.servers)[0];
 */
export function rankServers<Item extends {readonly server: Server}>(
	hostName: string,
	items: readonly Item[],
): Item[] {
	return items
		.map((item) => ({item, score: computeScore(hostName, item.server.name)}))
		.toSorted((one, other) => (one.score < other.score ? 1 : -1))
		.map((ranked) => ranked.item);
}

/**
 * Computes how many servers of a region a host keeps connections to, so that
 * all hosts together use only a fraction of each server's connections.
 *
 * @example
 * computeSubsetSize(10, regionServers);
 */
export function computeSubsetSize(
	hostCount: number,
	servers: readonly Server[],
): number {
	const allowedByConnections = servers.reduce(
		(sum, server) =>
			sum +
			(server.connections * connectionFraction) / (server.slots * hostCount),
		0,
	);
	const wantedForBalance = Math.max(
		defaultSubsetSize,
		Math.ceil((minimumHostsPerServer * servers.length) / hostCount),
	);
	const size = Math.max(
		minimumSubsetSize,
		Math.floor(Math.min(allowedByConnections, wantedForBalance)),
	);
	return Math.min(servers.length, size);
}

function computeScore(hostName: string, serverName: string): string {
	return createHash('sha256')
		.update(`${hostName}\n${serverName}`)
		.digest('hex');
}
