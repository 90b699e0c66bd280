import {createHash} from 'node:crypto';
import type {EntryHost} from '@parsleyvale/shared';

/** Up to this fleet size, each host polls all others and reads the store. */
export const allToAllLimit = 32;

/** Readers per region; the other hosts poll their parents. */
const readersPerRegion = 2;

/** Average number of hosts that poll a host in one round. */
const childrenPerHost = 8;

/** Hosts that each host polls, in turn. */
const parentsPerHost = 2;

type RankedHost = {readonly name: string; readonly rank: string};

function computeRank(region: string, name: string): string {
	return createHash('sha256').update(`${region}/${name}`).digest('hex');
}

/**
 * Distribution tree for fleets too large for all-to-all polling. The hosts of
 * each region are ordered by a hash of their names; the first ones are readers,
 * which read the store. Each host computes the same tree from the platform's
 * host list.
 *
 * @internal
 */
export class SyncTree {
	readonly #self: EntryHost;
	#isReader = true;
	#parents: string[] = [];

	constructor(self: EntryHost) {
		this.#self = self;
	}

	/** Whether this host reads the store. */
	get isReader(): boolean {
		return this.#isReader;
	}

	/** Hosts to poll; undefined means all. */
	get parents(): readonly string[] | undefined {
		return this.#parents.length === 0 ? undefined : this.#parents;
	}

	set(hosts: readonly EntryHost[]): void {
		if (hosts.length <= allToAllLimit) {
			this.#isReader = true;
			this.#parents = [];
			return;
		}

		const {region, name} = this.#self;
		const rankedHosts: RankedHost[] = hosts
			.filter((host) => host.region === region && !host.leaving)
			.map((host) => ({name: host.name, rank: computeRank(region, host.name)}))
			.sort((a, b) => a.rank.localeCompare(b.rank));
		const position = rankedHosts.findIndex(
			(candidate) => candidate.name === name,
		);
		this.#isReader = position < readersPerRegion;
		this.#parents = this.#isReader
			? this.#chooseReaderPeers(hosts)
			: this.#chooseParents(rankedHosts, position);
	}

	#chooseParents(
		rankedHosts: readonly RankedHost[],
		position: number,
	): string[] {
		const group = Math.floor((position - readersPerRegion) / childrenPerHost);
		const indexes = Array.from({length: parentsPerHost}, (_, offset) =>
			Math.max(0, group - (group % parentsPerHost) + offset),
		);
		return indexes
			.filter((index) => index < position)
			.map((index) => rankedHosts[index]!.name);
	}

	/**
	 * Readers poll hosts of the whole fleet, so that updates spread between
	 * regions without the store.
	 */
	#chooseReaderPeers(hosts: readonly EntryHost[]): string[] {
		return hosts
			.filter((host) => host.name !== this.#self.name && !host.leaving)
			.map((host) => ({
				name: host.name,
				rank: computeRank(this.#self.name, host.name),
			}))
			.sort((a, b) => a.rank.localeCompare(b.rank))
			.slice(0, parentsPerHost)
			.map((candidate) => candidate.name);
	}
}
