import type {Milliseconds} from '@parsleyvale/shared';
import type {Context, PeerIdentity} from '@parsleyvale/kernel';
import type {HostVersions} from './host-versions.js';
import type {KeyFreshness} from './key-freshness.js';
import {
	topics,
	type DeltaMessage,
	type SyncReply,
	type SyncRequest,
	type WholeMessage,
} from './messages.js';
import type {Rules} from './options.js';
import type {Roster} from './roster.js';
import {allToAllLimit, type SyncTree} from './sync-tree.js';
import type {VersionsInForce} from './versions-in-force.js';
import type {WithdrawalSet} from './withdrawal-set.js';

const requestInterval: Milliseconds = 500;
const requestLifetime: Milliseconds = 10_000;
const sampledVersions = 8;

/** Every so many rounds, some versions of other hosts are passed on. */
const sampleEvery = 10;

type Parts = {
	readonly self: PeerIdentity;
	readonly random: () => number;
	readonly rules: Rules;
	readonly versions: VersionsInForce;
	readonly hostVersions: HostVersions;
	readonly withdrawals: WithdrawalSet;
	readonly roster: Roster;
	readonly freshness: KeyFreshness;
	readonly tree: SyncTree;
};

type Request = {readonly peer: string; readonly sentAt: Milliseconds};

/**
 * Asks peers, twice a second, what they know; the answers bring withdrawn keys,
 * vouch for them, and tell the versions in force.
 *
 * @internal
 */
export class PeerSync {
	readonly #parts: Parts;
	readonly #requests = new Map<string, Request>();
	#requestCount = 0;
	#round = 0;
	#askedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#isLeaving = false;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** From now on this host vouches for nothing and counts in no majority. */
	stop(): void {
		this.#isLeaving = true;
		this.#askedAt = Number.NEGATIVE_INFINITY;
	}

	onTick(context: Context): void {
		if (context.now - this.#askedAt < requestInterval) {
			return;
		}

		this.#askedAt = context.now;
		this.#clearOldRequests(context.now);
		this.#round++;
		const {roster, tree} = this.#parts;
		// In a tree one parent is asked at a time; the next round asks another.
		const peers =
			tree.parents === undefined
				? roster.peers
				: tree.parents.slice(this.#round % tree.parents.length).slice(0, 1);
		const giver = this.#chooseGiver(peers);
		for (const peer of peers) {
			this.#sendRequest(peer, peer === giver, context);
		}
	}

	onRequest(from: PeerIdentity, request: SyncRequest, context: Context): void {
		this.#onHeard(from, request, context.now);
		this.#sendReply(from, request, context);
		const isBehind = request.version < this.#parts.versions.version;
		if (isBehind && request.wantsConfiguration) {
			this.sendConfiguration(from.name, request.version, context);
		}
	}

	onReply(from: PeerIdentity, reply: SyncReply, now: Milliseconds): void {
		const request = this.#requests.get(reply.id);
		if (request?.peer !== from.name) {
			return;
		}

		this.#onHeard(from, reply, now);
		this.#parts.withdrawals.addAll(reply.withdrawals ?? []);
		for (const name of reply.roster ?? []) {
			this.#parts.roster.add(name, undefined, now);
		}

		if (reply.synced) {
			this.#onVouched(request, reply, now);
		}
	}

	/** Sends what changed since a version, or the whole. */
	sendConfiguration(to: string, since: number, context: Context): void {
		const {versions} = this.#parts;
		const operations = versions.listOperations();
		const delta = versions.findDelta(since);
		const whole = versions.current;
		if (delta !== undefined) {
			const payload: DeltaMessage = {delta, operations};
			context.emit({type: 'send-peer', to, topic: topics.delta, payload});
		} else if (whole !== undefined) {
			const payload: WholeMessage = {whole, operations};
			context.emit({type: 'send-peer', to, topic: topics.whole, payload});
		}
	}

	/** Sends what changed since a version to all that this host talks to. */
	sendToAll(since: number, context: Context): void {
		const {roster, tree} = this.#parts;
		for (const peer of tree.parents ?? roster.peers) {
			this.sendConfiguration(peer, since, context);
		}
	}

	#onVouched(request: Request, reply: SyncReply, now: Milliseconds): void {
		const {freshness, rules} = this.#parts;
		const moment = rules.safeguards.ageFromRequest ? request.sentAt : now;
		freshness.onVouched(request.peer, moment);
		if (reply.storeAgeMs !== undefined) {
			freshness.onStoreKnown(moment - reply.storeAgeMs);
		}
	}

	#onHeard(
		from: PeerIdentity,
		message: SyncRequest | SyncReply,
		now: Milliseconds,
	): void {
		const {roster, hostVersions} = this.#parts;
		if (message.leaving) {
			roster.remove(from.name, from.incarnation);
		} else {
			roster.add(from.name, from.incarnation, now);
		}

		hostVersions.set(from.name, message.version, now);
		for (const {name, version, ageMs} of message.versions) {
			hostVersions.set(name, version, now - ageMs);
		}
	}

	/** One peer that has a newer version; when none is known, any peer. */
	#chooseGiver(peers: readonly string[]): string | undefined {
		const {versions, hostVersions, random} = this.#parts;
		const newer = peers.filter(
			(peer) => (hostVersions.findVersion(peer) ?? 0) > versions.version,
		);
		const candidates = newer.length > 0 ? newer : peers;
		return candidates[Math.floor(random() * candidates.length)];
	}

	#sendRequest(to: string, isGiver: boolean, context: Context): void {
		const id = `${this.#parts.self.incarnation}/${this.#requestCount++}`;
		this.#requests.set(id, {peer: to, sentAt: context.now});
		const payload: SyncRequest = {
			id,
			version: this.#parts.versions.version,
			wantsConfiguration: isGiver,
			leaving: this.#isLeaving,
			withdrawalsDigest: this.#parts.withdrawals.digest,
			rosterDigest: this.#parts.roster.digest,
			versions: this.#sampleVersions(context.now),
		};
		context.emit({type: 'send-peer', to, topic: topics.syncRequest, payload});
	}

	#sendReply(to: PeerIdentity, request: SyncRequest, context: Context): void {
		const {freshness, roster, versions, withdrawals} = this.#parts;
		const payload: SyncReply = {
			id: request.id,
			version: versions.version,
			synced: freshness.isSynced && !this.#isLeaving,
			leaving: this.#isLeaving,
			versions: this.#sampleVersions(context.now),
		};
		const storeAgeMs = freshness.getStoreAge(context.now);
		if (storeAgeMs !== undefined) {
			payload.storeAgeMs = storeAgeMs;
		}

		if (request.withdrawalsDigest !== withdrawals.digest) {
			payload.withdrawals = withdrawals.list();
		}

		const isSmall = roster.size <= allToAllLimit;
		if (isSmall && request.rosterDigest !== roster.digest) {
			payload.roster = roster.peers;
		}

		context.emit({
			type: 'send-peer',
			to: to.name,
			topic: topics.syncReply,
			payload,
		});
	}

	#sampleVersions(now: Milliseconds): SyncReply['versions'] {
		const {roster, hostVersions, random} = this.#parts;
		const isDue = this.#round % sampleEvery === 0;
		return roster.size <= allToAllLimit || !isDue
			? []
			: hostVersions.sample(sampledVersions, random, now);
	}

	#clearOldRequests(now: Milliseconds): void {
		for (const [id, request] of this.#requests) {
			if (now - request.sentAt > requestLifetime) {
				this.#requests.delete(id);
			}
		}
	}
}
