import type {Milliseconds} from '@parsleyvale/shared';
import {computeHash} from './hash.js';
import type {Members} from './members.js';
import type {BackendServer, SteeringHost} from './model.js';

/** An owner is looked for again after this time: hosts come and go in seconds. */
const ownerLifetime: Milliseconds = 300;

type Owner = {readonly isSelf: boolean; readonly at: Milliseconds};

/**
 * One live host for each server, the same in all hosts' view: it alone does
 * what must not be done by several at once.
 */
export class ServerOwners {
	readonly #self: SteeringHost;
	readonly #members: Members;
	readonly #owners = new Map<string, Owner>();

	constructor(self: SteeringHost, members: Members) {
		this.#self = self;
		this.#members = members;
	}

	/** Whether this host is the server's owner among all hosts with requests. */
	isOwner({id}: BackendServer, now: Milliseconds): boolean {
		return this.#isFirst(id, undefined, now);
	}

	/** Whether it is the owner among those of the server's region, if there are any. */
	isOwnerInRegion({id, region}: BackendServer, now: Milliseconds): boolean {
		return this.#isFirst(id, region, now);
	}

	#isFirst(id: string, region: string | undefined, now: Milliseconds): boolean {
		const key = `${id} ${region ?? ''}`;
		const known = this.#owners.get(key);
		if (known !== undefined && now - known.at < ownerLifetime) {
			return known.isSelf;
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
		const least = this.#members.computeActiveRate(0);
		const others = this.#members
			.listLive(now)
			.filter(
				({digest}) =>
					digest?.isReady === true && digest.requestsPerSecond >= least,
			)
			.map(({host}) => host);
		const hosts = [this.#self, ...others];
		const near = hosts.filter((host) => host.region === region);
		const idHash = computeHash(id);
		let owner = '';
		let most = -1;
		for (const {name} of near.length > 0 ? near : hosts) {
			const weight = computeHash(name, idHash);
			if (weight > most) {
				owner = name;
				most = weight;
			}
		}

		return owner;
	}
}
