import type {Milliseconds} from '@parsleyvale/shared';
import type {Roster} from './roster.js';
import type {ResolvedOptions} from './options.js';

const never: Milliseconds = Number.NEGATIVE_INFINITY;

/**
 * A lease on accepting keys, valid while the list of withdrawn keys is recent.
 * It is renewed either by the store, whose withdrawals are known as of
 * `#storeAsOf`, or by replies from a majority of hosts. Times are on this host's
 * clock, taken when the request was sent, so that clocks of different hosts are
 * never compared. See docs/design/keys.md.
 *
 * @internal
 */
export class KeyFreshness {
	readonly #options: ResolvedOptions;
	readonly #roster: Roster;
	readonly #peerAsOf = new Map<string, Milliseconds>();
	#startedAt: Milliseconds | undefined;
	#storeAsOf: Milliseconds = never;
	#hasSynced = false;

	constructor(options: ResolvedOptions, roster: Roster) {
		this.#options = options;
		this.#roster = roster;
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

	/** This host has all withdrawals that the store held at `asOf`. */
	renewFromStore(asOf: Milliseconds): void {
		this.#storeAsOf = Math.max(this.#storeAsOf, asOf);
		if (asOf >= (this.#startedAt ?? Number.POSITIVE_INFINITY)) {
			this.#hasSynced = true;
		}
	}

	/** A synced peer has sent all withdrawals that it knew at `asOf` or later. */
	renewFromPeer(peer: string, asOf: Milliseconds): void {
		const before = this.#peerAsOf.get(peer) ?? never;
		this.#peerAsOf.set(peer, Math.max(before, asOf));
		if (!this.#hasSynced && this.#getMajorityAsOf() !== never) {
			this.#hasSynced = true;
		}
	}

	/** Age of the latest known store state, sent to peers. */
	getStoreAge(now: Milliseconds): Milliseconds | undefined {
		return this.#storeAsOf === never ? undefined : now - this.#storeAsOf;
	}

	/** Evaluated at each use, so that the lease also expires during a pause. */
	isFresh(now: Milliseconds): boolean {
		if (!this.#options.safeguards.freshness) {
			return true;
		}

		const oldest = now - this.#options.leaseDuration;
		return this.#storeAsOf >= oldest || this.#getMajorityAsOf() >= oldest;
	}

	/** The latest time as of which a majority of hosts has replied. */
	#getMajorityAsOf(): Milliseconds {
		// A host that knows no peers may simply not have discovered them yet.
		if (this.#roster.size === 1) {
			return never;
		}

		const ownVote = this.isSynced ? 1 : 0;
		const neededPeers = this.#roster.majority - ownVote;
		const asOfTimes = [...this.#peerAsOf]
			.filter(([peer]) => this.#roster.has(peer))
			.map(([, asOf]) => asOf)
			.sort((a, b) => b - a);
		return asOfTimes[neededPeers - 1] ?? never;
	}
}
