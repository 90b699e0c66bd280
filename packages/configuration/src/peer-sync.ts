import type {Milliseconds} from '@parsleyvale/shared';
import type {Context, PeerIdentity} from '@parsleyvale/kernel';
import type {HostVersions} from './host-versions.js';
import type {KeyFreshness} from './key-freshness.js';
import {
	topics,
	type DeltaMessage,
	type SyncReply,
	type SyncRequest,
	type SnapshotMessage,
} from './messages.js';
import type {ResolvedOptions} from './options.js';
import type {Voters} from './voters.js';
import {allToAllLimit, type SyncTree} from './sync-tree.js';
import type {ConfigurationHistory} from './configuration-history.js';
import type {WithdrawalSet} from './withdrawal-set.js';

/** Interval between rounds of polling. */
const syncInterval: Milliseconds = 500;

/** A reply that takes longer is ignored. */
const syncRequestTimeout: Milliseconds = 10_000;

/** Maximum number of versions of other hosts sent as gossip in one message. */
const versionsPerSample = 8;

/** In large fleets, one in this many rounds sends versions of other hosts. */
const roundsPerSample = 10;

type Dependencies = {
	readonly self: PeerIdentity;
	readonly random: () => number;
	readonly options: ResolvedOptions;
	readonly history: ConfigurationHistory;
	readonly hostVersions: HostVersions;
	readonly withdrawnKeys: WithdrawalSet;
	readonly voters: Voters;
	readonly freshness: KeyFreshness;
	readonly syncTree: SyncTree;
};

type Request = {readonly peer: string; readonly sentAt: Milliseconds};

/**
 * Polls peers for their state. Replies carry missing withdrawn keys and active
 * versions, and renew the freshness lease.
 *
 * @internal
 */
export class PeerSync {
	readonly #dependencies: Dependencies;
	readonly #requests = new Map<string, Request>();
	#requestCount = 0;
	#round = 0;
	#syncedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#isLeaving = false;

	constructor(dependencies: Dependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Tells peers that this host is stopping: its replies renew no leases, and it
	 * counts in no majority.
	 */
	stop(): void {
		this.#isLeaving = true;
		this.#syncedAt = Number.NEGATIVE_INFINITY;
	}

	onTick(context: Context): void {
		if (context.now - this.#syncedAt < syncInterval) {
			return;
		}

		this.#syncedAt = context.now;
		this.#removeExpiredRequests(context.now);
		this.#round++;
		const {voters, syncTree} = this.#dependencies;
		// With a tree, each round polls one parent, in turn.
		const peers =
			syncTree.parents === undefined
				? voters.peers
				: syncTree.parents
						.slice(this.#round % syncTree.parents.length)
						.slice(0, 1);
		const source = this.#chooseSource(peers);
		for (const peer of peers) {
			this.#sendRequest(peer, peer === source, context);
		}
	}

	onRequest(from: PeerIdentity, request: SyncRequest, context: Context): void {
		this.#updatePeer(from, request, context.now);
		this.#sendReply(from, request, context);
		const isBehind = request.version < this.#dependencies.history.version;
		if (isBehind && request.wantsConfiguration) {
			this.sendConfiguration(from.name, request.version, context);
		}
	}

	onReply(from: PeerIdentity, reply: SyncReply, now: Milliseconds): void {
		const request = this.#requests.get(reply.id);
		if (request?.peer !== from.name) {
			return;
		}

		this.#updatePeer(from, reply, now);
		this.#dependencies.withdrawnKeys.addAll(reply.withdrawals ?? []);
		for (const name of reply.roster ?? []) {
			this.#dependencies.voters.add(name, undefined, now);
		}

		if (reply.synced) {
			this.#renewFreshness(request, reply, now);
		}
	}

	/** Sends the changes since a version, or a full snapshot. */
	sendConfiguration(to: string, since: number, context: Context): void {
		const {history} = this.#dependencies;
		const operations = history.listOperations();
		const delta = history.findDelta(since);
		const snapshot = history.current;
		if (delta !== undefined) {
			const payload: DeltaMessage = {delta, operations};
			context.emit({type: 'send-peer', to, topic: topics.delta, payload});
		} else if (snapshot !== undefined) {
			const payload: SnapshotMessage = {whole: snapshot, operations};
			context.emit({type: 'send-peer', to, topic: topics.snapshot, payload});
		}
	}

	/** Sends the changes since a version to all parents, or to all peers. */
	sendToPeers(since: number, context: Context): void {
		const {voters, syncTree} = this.#dependencies;
		for (const peer of syncTree.parents ?? voters.peers) {
			this.sendConfiguration(peer, since, context);
		}
	}

	#renewFreshness(request: Request, reply: SyncReply, now: Milliseconds): void {
		const {freshness, options} = this.#dependencies;
		const renewedAt = options.safeguards.ageFromRequest ? request.sentAt : now;
		freshness.renewFromPeer(request.peer, renewedAt);
		if (reply.storeAgeMs !== undefined) {
			freshness.renewFromStore(renewedAt - reply.storeAgeMs);
		}
	}

	#updatePeer(
		from: PeerIdentity,
		message: SyncRequest | SyncReply,
		now: Milliseconds,
	): void {
		const {voters, hostVersions} = this.#dependencies;
		if (message.leaving) {
			voters.remove(from.name, from.incarnation);
		} else {
			voters.add(from.name, from.incarnation, now);
		}

		hostVersions.set(from.name, message.version, now);
		for (const {name, version, ageMs} of message.versions) {
			hostVersions.set(name, version, now - ageMs);
		}
	}

	/**
	 * Chooses the peer that should send its configuration: a random one, preferably
	 * with a newer version.
	 */
	#chooseSource(peers: readonly string[]): string | undefined {
		const {history, hostVersions, random} = this.#dependencies;
		const newer = peers.filter(
			(peer) => (hostVersions.findVersion(peer) ?? 0) > history.version,
		);
		const candidates = newer.length > 0 ? newer : peers;
		return candidates[Math.floor(random() * candidates.length)];
	}

	#sendRequest(to: string, isSource: boolean, context: Context): void {
		const id = `${this.#dependencies.self.incarnation}/${this.#requestCount++}`;
		this.#requests.set(id, {peer: to, sentAt: context.now});
		const payload: SyncRequest = {
			id,
			version: this.#dependencies.history.version,
			wantsConfiguration: isSource,
			leaving: this.#isLeaving,
			withdrawalsDigest: this.#dependencies.withdrawnKeys.digest,
			rosterDigest: this.#dependencies.voters.digest,
			versions: this.#sampleVersions(context.now),
		};
		context.emit({type: 'send-peer', to, topic: topics.syncRequest, payload});
	}

	#sendReply(to: PeerIdentity, request: SyncRequest, context: Context): void {
		const {freshness, voters, history, withdrawnKeys} = this.#dependencies;
		const payload: SyncReply = {
			id: request.id,
			version: history.version,
			synced: freshness.isSynced && !this.#isLeaving,
			leaving: this.#isLeaving,
			versions: this.#sampleVersions(context.now),
		};
		const storeAgeMs = freshness.getStoreAge(context.now);
		if (storeAgeMs !== undefined) {
			payload.storeAgeMs = storeAgeMs;
		}

		if (request.withdrawalsDigest !== withdrawnKeys.digest) {
			payload.withdrawals = withdrawnKeys.list();
		}

		const isAllToAll = voters.size <= allToAllLimit;
		if (isAllToAll && request.rosterDigest !== voters.digest) {
			payload.roster = voters.peers;
		}

		context.emit({
			type: 'send-peer',
			to: to.name,
			topic: topics.syncReply,
			payload,
		});
	}

	#sampleVersions(now: Milliseconds): SyncReply['versions'] {
		const {voters, hostVersions, random} = this.#dependencies;
		const isDue = this.#round % roundsPerSample === 0;
		return voters.size <= allToAllLimit || !isDue
			? []
			: hostVersions.sample(versionsPerSample, random, now);
	}

	#removeExpiredRequests(now: Milliseconds): void {
		for (const [id, request] of this.#requests) {
			if (now - request.sentAt > syncRequestTimeout) {
				this.#requests.delete(id);
			}
		}
	}
}
