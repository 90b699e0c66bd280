import {second, type EntryHost, type Milliseconds} from '@parsleyvale/shared';
import type {ProcessId} from './ledger.js';
import {Peer} from './peer.js';
import {rootLeaseDuration} from './timing.js';

/**
 * A process not heard from for this long is replaced by another of the same name.
 */
const staleProcessTimeout: Milliseconds = second;

function toKey({name, incarnation}: ProcessId): string {
	return `${name}/${incarnation}`;
}

/** Processes of other entry hosts, known as members or as senders. */
export class PeerTable {
	members: readonly EntryHost[] = [];
	readonly #self: EntryHost;
	/** The current process of each name. */
	readonly #currentByName = new Map<string, Peer>();
	/**
	 * Every process by name and incarnation. Processes are kept after they end,
	 * so that a late duplicate of a message is not applied again.
	 */
	readonly #processes = new Map<string, Peer>();

	constructor(self: EntryHost) {
		this.#self = self;
	}

	/** Lists the current process of each name. */
	listPeers(): Peer[] {
		return [...this.#currentByName.values()];
	}

	findProcess(process: ProcessId): Peer | undefined {
		return this.#processes.get(toKey(process));
	}

	findMember(name: string): EntryHost | undefined {
		return this.members.find((member) => member.name === name);
	}

	setMembers(members: readonly EntryHost[], now: Milliseconds): void {
		this.members = members;
		for (const member of members) {
			if (member.name !== this.#self.name) {
				this.#setCurrent(member, now);
			}
		}
	}

	/** Finds or adds the peer of a sender; undefined for this host's own name. */
	findOrCreate(process: ProcessId, now: Milliseconds): Peer | undefined {
		if (process.name === this.#self.name) {
			return undefined;
		}

		return this.#setCurrent(process, now);
	}

	/**
	 * Removes old processes that are not members, were not heard from recently and
	 * have no open loans.
	 */
	removeExpired(now: Milliseconds): void {
		for (const [key, peer] of this.#processes) {
			const isMember = this.findMember(peer.name) !== undefined;
			const isIdle = peer.lentUnits.size === 0 && peer.borrowedUnits.size === 0;
			const isExpired = now - peer.knownSince > 2 * rootLeaseDuration;
			if (
				isIdle &&
				isExpired &&
				!isMember &&
				!peer.isLive(now, 2 * rootLeaseDuration)
			) {
				this.#processes.delete(key);
				if (this.#currentByName.get(peer.name) === peer) {
					this.#currentByName.delete(peer.name);
				}
			}
		}
	}

	#setCurrent(process: ProcessId, now: Milliseconds): Peer {
		const key = toKey(process);
		let peer = this.#processes.get(key);
		const current = this.#currentByName.get(process.name);
		const isNew = peer === undefined;
		if (peer === undefined) {
			peer = new Peer(process.name, process.incarnation, now);
			this.#processes.set(key, peer);
		}

		if (isNew || !current?.isLive(now, staleProcessTimeout)) {
			this.#currentByName.set(process.name, peer);
		}

		return peer;
	}
}
