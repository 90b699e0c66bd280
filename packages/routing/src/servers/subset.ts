import {createHash} from 'node:crypto';
import type {Server} from '@parsleyvale/shared';

/** The part of a server's connections that entry hosts may fill together. */
const connectionFraction = 0.25;
/** A smaller subset would leave no choice when one server fails. */
const smallestSubset = 3;

/**
 * Servers in the order in which this host prefers them, by rendezvous
 * hashing: stable when others come and go, different for each host.
 *
 * @example
 * rankServers('tpe-a-1', pool.servers)[0];
 */
export function rankServers<Item extends {readonly server: Server}>(
	hostName: string,
	items: readonly Item[],
): Item[] {
	return items
		.map((item) => ({item, score: toScore(hostName, item.server.name)}))
		.toSorted((one, other) => (one.score < other.score ? 1 : -1))
		.map((ranked) => ranked.item);
}

/**
 * How many servers of a region one host keeps connections to, so that all
 * hosts together fill only a part of each server's connections.
 *
 * @example
 * computeSubsetSize(10, regionServers);
 */
export function computeSubsetSize(
	hostCount: number,
	servers: readonly Server[],
): number {
	const allowed = servers.reduce(
		(sum, server) =>
			sum +
			(server.connections * connectionFraction) / (server.slots * hostCount),
		0,
	);
	return Math.min(
		servers.length,
		Math.max(smallestSubset, Math.floor(allowed)),
	);
}

function toScore(hostName: string, serverName: string): string {
	return createHash('sha256')
		.update(`${hostName}\n${serverName}`)
		.digest('hex');
}
