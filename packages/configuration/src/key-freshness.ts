import type {Milliseconds} from '@parsleyvale/shared';
import type {Voters} from './voters.js';
import type {ResolvedOptions} from './options.js';

const never: Milliseconds = Number.NEGATIVE_INFINITY;

/**
 * The freshness lease: this host may accept keys only while its list of
 * withdrawn keys is recent. The lease is renewed either by a read of the store,
 * by this host or by a peer, or by replies from a majority of hosts. Times are
 * on this host's clock, taken when the request was sent, so that clocks of
 * different hosts are never compared. See docs/design/keys.md.
 *
 * @internal
 */
export class KeyFreshness {
	readonly #options: ResolvedOptions;
	readonly #voters: Voters;
	readonly #requestedAtByPeer = new Map<string, Milliseconds>();
	#startedAt: Milliseconds | undefined;
	#storeReadAt: Milliseconds = never;
	#hasSynced = false;

	constructor(options: ResolvedOptions, voters: Voters) {
		this.#options = options;
		this.#voters = voters;
	}

	/**
	 * Whether this process has caught up with what was known before it started.
	 * Hosts persist nothing across a restart, so only a synced host counts
	 * towards the majority of its peers.
	 */
	get isSynced(): boolean {
		return this.#hasSynced || !this.#options.safeguards.requireSyncedPeers;
	}

	start(now: Milliseconds): void {
		this.#startedAt ??= now;
	}

	/** This host has all withdrawals that the store held at `readAt`. */
	renewFromStore(readAt: Milliseconds): void {
		this.#storeReadAt = Math.max(this.#storeReadAt, readAt);
		if (readAt >= (this.#startedAt ?? Number.POSITIVE_INFINITY)) {
			this.#hasSynced = true;
		}
	}

	/**
	 * A synced peer has sent all withdrawals that it knew when this host requested
	 * them or later.
	 */
	renewFromPeer(peer: string, requestedAt: Milliseconds): void {
		const before = this.#requestedAtByPeer.get(peer) ?? never;
		this.#requestedAtByPeer.set(peer, Math.max(before, requestedAt));
		if (!this.#hasSynced && this.#getMajorityRequestedAt() !== never) {
			this.#hasSynced = true;
		}
	}

	/** Time since the latest known read of the store; undefined if none. */
	getStoreAge(now: Milliseconds): Milliseconds | undefined {
		return this.#storeReadAt === never ? undefined : now - this.#storeReadAt;
	}

	/** Evaluated at each use, so that the lease also expires during a pause. */
	isFresh(now: Milliseconds): boolean {
		if (!this.#options.safeguards.requireFreshKeys) {
			return true;
		}

		const oldest = now - this.#options.leaseDuration;
		return (
			this.#storeReadAt >= oldest || this.#getMajorityRequestedAt() >= oldest
		);
	}

	/** The latest time such that a majority replied to requests since then. */
	#getMajorityRequestedAt(): Milliseconds {
		// A host that knows no peers may simply not have discovered them yet.
		if (this.#voters.size === 1) {
			return never;
		}

		const ownVotes = this.isSynced ? 1 : 0;
		const neededPeers = this.#voters.majority - ownVotes;
		const requestTimes = [...this.#requestedAtByPeer]
			.filter(([peer]) => this.#voters.has(peer))
			.map(([, requestedAt]) => requestedAt)
			.sort((a, b) => b - a);
		return requestTimes[neededPeers - 1] ?? never;
	}
}
