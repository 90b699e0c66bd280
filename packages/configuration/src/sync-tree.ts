import {createHash} from 'node:crypto';
import type {EntryHost} from '@parsleyvale/shared';

/** Up to here every host talks to every other and reads the store itself. */
export const allToAllLimit = 32;

/** Hosts of a region that ask the store; the others ask hosts. */
const rootsPerRegion = 2;
const childrenPerHost = 8;
const parentsPerHost = 2;

type Place = {readonly name: string; readonly rank: string};

function toRank(region: string, name: string): string {
	return createHash('sha256').update(`${region}/${name}`).digest('hex');
}

/**
 * Whom a host asks for news where not all can talk to all: in each region the
 * hosts form a tree in the order of a hash of their names, and the first ones
 * ask the store. Every host works out the same tree from the platform's list.
 *
 * @internal
 */
export class SyncTree {
	readonly #self: EntryHost;
	#isRoot = true;
	#parents: string[] = [];

	constructor(self: EntryHost) {
		this.#self = self;
	}

	/** Whether this host asks the store. */
	get isRoot(): boolean {
		return this.#isRoot;
	}

	/** Hosts to ask; undefined: all of them. */
	get parents(): readonly string[] | undefined {
		return this.#parents.length === 0 ? undefined : this.#parents;
	}

	set(hosts: readonly EntryHost[]): void {
		if (hosts.length <= allToAllLimit) {
			this.#isRoot = true;
			this.#parents = [];
			return;
		}

		const {region, name} = this.#self;
		const places: Place[] = hosts
			.filter((host) => host.region === region && !host.leaving)
			.map((host) => ({name: host.name, rank: toRank(region, host.name)}))
			.sort((a, b) => a.rank.localeCompare(b.rank));
		const place = places.findIndex((candidate) => candidate.name === name);
		this.#isRoot = place < rootsPerRegion;
		this.#parents = this.#isRoot
			? this.#chooseOtherRoots(hosts)
			: this.#chooseParents(places, place);
	}

	#chooseParents(places: readonly Place[], place: number): string[] {
		const generation = Math.floor((place - rootsPerRegion) / childrenPerHost);
		const indexes = Array.from({length: parentsPerHost}, (_, other) =>
			Math.max(0, generation - (generation % parentsPerHost) + other),
		);
		return indexes
			.filter((index) => index < place)
			.map((index) => places[index]!.name);
	}

	/** Roots ask roots of other regions, so that news pass without the store. */
	#chooseOtherRoots(hosts: readonly EntryHost[]): string[] {
		return hosts
			.filter((host) => host.name !== this.#self.name && !host.leaving)
			.map((host) => ({
				name: host.name,
				rank: toRank(this.#self.name, host.name),
			}))
			.sort((a, b) => a.rank.localeCompare(b.rank))
			.slice(0, parentsPerHost)
			.map((candidate) => candidate.name);
	}
}
