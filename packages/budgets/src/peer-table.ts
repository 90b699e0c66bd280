import {second, type EntryHost, type Milliseconds} from '@parsleyvale/shared';
import type {ProcessId} from './ledger.js';
import {Peer} from './peer.js';
import {hardLease} from './timing.js';

/** A process silent for this long gives way to another of its name. */
const silence: Milliseconds = second;

function toKey({name, incarnation}: ProcessId): string {
	return `${name}/${incarnation}`;
}

/** The processes of other entry hosts, as members and as senders. */
export class PeerTable {
	members: readonly EntryHost[] = [];
	readonly #self: EntryHost;
	/** The process that now stands for each name. */
	readonly #current = new Map<string, Peer>();
	/**
	 * Every process by name and incarnation. A record outlives its process, so
	 * that a message that arrives again late is not applied again.
	 */
	readonly #records = new Map<string, Peer>();

	constructor(self: EntryHost) {
		this.#self = self;
	}

	/** The processes that this host talks to, one for each name. */
	listPeers(): Peer[] {
		return [...this.#current.values()];
	}

	find(process: ProcessId): Peer | undefined {
		return this.#records.get(toKey(process));
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

	/** The record of a sender; undefined for this host's own name. */
	findOrCreate(process: ProcessId, now: Milliseconds): Peer | undefined {
		if (process.name === this.#self.name) {
			return undefined;
		}

		return this.#setCurrent(process, now);
	}

	/** Forgets processes that cannot speak or owe anything any more. */
	removeOld(now: Milliseconds): void {
		for (const [key, peer] of this.#records) {
			const isMember = this.findMember(peer.name) !== undefined;
			const isIdle = peer.lent.size === 0 && peer.borrowed.size === 0;
			const isOld = now - peer.knownSince > 2 * hardLease;
			if (isIdle && isOld && !isMember && !peer.isHeard(now, 2 * hardLease)) {
				this.#records.delete(key);
				if (this.#current.get(peer.name) === peer) {
					this.#current.delete(peer.name);
				}
			}
		}
	}

	#setCurrent(process: ProcessId, now: Milliseconds): Peer {
		const key = toKey(process);
		let peer = this.#records.get(key);
		const current = this.#current.get(process.name);
		const isFirst = peer === undefined;
		if (peer === undefined) {
			peer = new Peer(process.name, process.incarnation, now);
			this.#records.set(key, peer);
		}

		if (isFirst || !current?.isHeard(now, silence)) {
			this.#current.set(process.name, peer);
		}

		return peer;
	}
}
