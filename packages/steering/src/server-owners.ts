import type {Milliseconds} from '@parsleyvale/shared';
import {computeHash} from './hash.js';
import type {Members} from './members.js';

/** An owner is looked for again after this time: hosts come and go in seconds. */
const ownerLifetime: Milliseconds = 300;

type Owner = {readonly isSelf: boolean; readonly at: Milliseconds};

/**
 * One live host for each server, the same in all hosts' view: it alone does
 * what must not be done by several at once.
 */
export class ServerOwners {
	readonly #self: string;
	readonly #members: Members;
	readonly #owners = new Map<string, Owner>();

	constructor(self: string, members: Members) {
		this.#self = self;
		this.#members = members;
	}

	/** Whether this host is the server's owner. */
	isOwner(serverId: string, now: Milliseconds): boolean {
		const known = this.#owners.get(serverId);
		if (known !== undefined && now - known.at < ownerLifetime) {
			return known.isSelf;
		}

		const own = computeHash(`${serverId}/${this.#self}`);
		const isSelf = this.#members
			.listLive(now)
			.filter(({digest}) => digest?.isReady === true)
			.every(({host}) => computeHash(`${serverId}/${host.name}`) < own);
		this.#owners.set(serverId, {isSelf, at: now});
		return isSelf;
	}
}
