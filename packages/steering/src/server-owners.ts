import type {Milliseconds} from '@parsleyvale/shared';
import {computeHash} from './hash.js';
import type {Members} from './members.js';
import type {BackendServer, SteeringHost} from './model.js';

/** How long a computed owner is reused: hosts join and leave within seconds. */
const ownerLifetime: Milliseconds = 300;

type Owner = {readonly isSelf: boolean; readonly at: Milliseconds};

/**
 * Elects one live host as the owner of each server, consistently on all hosts. Only
 * the owner sends requests to a starting server, or, at high utilization, has it
 * cache an object that another server already has.
 */
export class ServerOwners {
	readonly #self: SteeringHost;
	readonly #members: Members;
	readonly #owners = new Map<string, Owner>();

	constructor(self: SteeringHost, members: Members) {
		this.#self = self;
		this.#members = members;
	}

	/** Whether this host is the server's owner among all active hosts. */
	isOwner({id}: BackendServer, now: Milliseconds): boolean {
		return this.#isOwnerAmong(id, undefined, now);
	}

	/** Whether this host is the owner among the active hosts of the server's region, or of all regions if that has none. */
	isOwnerInRegion({id, region}: BackendServer, now: Milliseconds): boolean {
		return this.#isOwnerAmong(id, region, now);
	}

	#isOwnerAmong(
		id: string,
		region: string | undefined,
		now: Milliseconds,
	): boolean {
		const key = `${id} ${region ?? ''}`;
		const cachedOwner = this.#owners.get(key);
		if (cachedOwner !== undefined && now - cachedOwner.at < ownerLifetime) {
			return cachedOwner.isSelf;
		}

		const isSelf = this.#self.name === this.#findOwner(id, region, now);
		this.#owners.set(key, {isSelf, at: now});
		return isSelf;
	}

	#findOwner(
		id: string,
		region: string | undefined,
		now: Milliseconds,
	): string {
		const minimumRate = this.#members.computeActiveRate(0);
		const others = this.#members
			.listLive(now)
			.filter(
				({digest}) =>
					digest?.isReady === true && digest.requestsPerSecond >= minimumRate,
			)
			.map(({host}) => host);
		const hosts = [this.#self, ...others];
		const inRegion = hosts.filter((host) => host.region === region);
		const idHash = computeHash(id);
		let owner = '';
		let highestScore = -1;
		for (const {name} of inRegion.length > 0 ? inRegion : hosts) {
			const score = computeHash(name, idHash);
			if (score > highestScore) {
				owner = name;
				highestScore = score;
			}
		}

		return owner;
	}
}
