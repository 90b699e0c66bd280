import type {Milliseconds} from '@parsleyvale/shared';
import type {HostState} from './host-state.js';
import {computeHash} from './hash.js';

/** Number of hosts that read from the store for all others; several of them may fail or be partitioned at once. */
const readerCount = 5;
/** A host reads from the store itself if its configuration has not been confirmed for this long. */
const maximumConfirmationAge: Milliseconds = 3000;
/** How long the result of an election is reused; hosts are heard from less often. */
const electionInterval: Milliseconds = 200;

/**
 * Decides whether this host reads from the store. So that the store's load does
 * not grow with the fleet, only a few hosts do; the others get its data from them
 * by digests and fetched copies.
 */
export class StoreReaders {
	readonly #hostState: HostState;
	readonly #ranks = new Map<string, number>();
	#election = {at: Number.NEGATIVE_INFINITY, isElected: true};

	constructor(hostState: HostState) {
		this.#hostState = hostState;
	}

	/** Whether this host should read from the store now. */
	isReader(now: Milliseconds): boolean {
		const {configuration, serverTable} = this.#hostState;
		return (
			serverTable.revision < 0 ||
			configuration.computeConfirmationAge(now) > maximumConfirmationAge ||
			this.#isElected(now)
		);
	}

	/** Whether this host is among the readers chosen by hash, ignoring hosts that cannot reach the store. */
	#isElected(now: Milliseconds): boolean {
		const {at, isElected} = this.#election;
		if (now - at < electionInterval) {
			return isElected;
		}

		const {members, settings} = this.#hostState;
		const ownRank = this.#getRank(settings.self.name);
		let higherRanked = 0;
		for (const {host, digest} of members.listLive(now)) {
			const isHigher = this.#getRank(host.name) > ownRank;
			higherRanked += isHigher && digest?.isStoreLost === false ? 1 : 0;
		}

		this.#election = {at: now, isElected: higherRanked < readerCount};
		return this.#election.isElected;
	}

	#getRank(hostName: string): number {
		const rank = this.#ranks.get(hostName) ?? computeHash(`reader/${hostName}`);
		this.#ranks.set(hostName, rank);
		return rank;
	}
}
