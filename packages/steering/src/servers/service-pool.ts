import {computeHash} from '../hash.js';
import type {ServerState} from './server-state.js';

/** Servers of each failure domain in an object's ranking: more than are scored, since some may be starting or ejected. */
const rankedPerDomain = 4;
/** Maximum rankings cached for each service: the objects of a few seconds. */
const maximumCachedRankings = 1024;

type ScoredServer = {readonly state: ServerState; readonly score: number};

/** The servers of one service, and their ranking for each object. */
export class ServicePool {
	#servers: readonly ServerState[] = [];
	readonly #byDomain = new Map<string, ServerState[]>();
	readonly #rankings = new Map<number, readonly ServerState[]>();

	get servers(): readonly ServerState[] {
		return this.#servers;
	}

	setServers(servers: readonly ServerState[]): void {
		this.#servers = servers;
		this.#rankings.clear();
		this.#byDomain.clear();
		for (const state of servers) {
			const {failureDomain} = state.server;
			const domainServers = this.#byDomain.get(failureDomain) ?? [];
			domainServers.push(state);
			this.#byDomain.set(failureDomain, domainServers);
		}
	}

	/**
	 * Ranks servers of each failure domain for the object by rendezvous (highest
	 * random weight) hashing: all hosts get the same ranking, and it changes little
	 * when servers join or leave.
	 */
	rank(objectHash: number): readonly ServerState[] {
		const cachedRanking = this.#rankings.get(objectHash);
		if (cachedRanking !== undefined) {
			return cachedRanking;
		}

		const ranking = [...this.#byDomain.values()]
			.flatMap((states) => findTopRanked(states, objectHash))
			.sort((a, b) => b.score - a.score)
			.map(({state}) => state);
		if (this.#rankings.size >= maximumCachedRankings) {
			this.#rankings.clear();
		}

		this.#rankings.set(objectHash, ranking);
		return ranking;
	}
}

function findTopRanked(
	states: readonly ServerState[],
	objectHash: number,
): ScoredServer[] {
	const topRanked: ScoredServer[] = [];
	for (const state of states) {
		const score = computeHash(state.server.id, objectHash);
		const last = topRanked.at(-1);
		if (topRanked.length === rankedPerDomain && score <= last!.score) {
			continue;
		}

		const index = topRanked.findIndex((other) => other.score < score);
		topRanked.splice(index === -1 ? topRanked.length : index, 0, {
			state,
			score,
		});
		topRanked.length = Math.min(topRanked.length, rankedPerDomain);
	}

	return topRanked;
}
