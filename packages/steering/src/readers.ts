import type {Milliseconds} from '@parsleyvale/shared';
import type {HostState} from './host-state.js';
import {computeHash} from './hash.js';

/** Number of hosts that read from the store for all others; several of them may fail or be partitioned at once. */
const readerCount = 5;
/** A host reads from the store itself if its configuration has not been confirmed for this long. */
const maximumConfirmationAge: Milliseconds = 3000;
/** Readers that must be waiting for the first configuration, so that one of them may fail. */
const minimumWaitingReaders = 2;
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
		const isCurrent =
			serverTable.isRead &&
			configuration.computeConfirmationAge(now) <= maximumConfirmationAge;
		const mayLeaveReading =
			isCurrent || (configuration.version < 0 && this.#areReadersWaiting(now));
		return !mayLeaveReading || this.#isElected(now);
	}

	/**
	 * Whether hosts that read from the store wait for the first configuration, too.
	 * Otherwise, all hosts of a new fleet would poll the store until the operator
	 * writes it, and each server that registers would answer all of the polls.
	 */
	#areReadersWaiting(now: Milliseconds): boolean {
		const waiting = this.#hostState.members
			.listLive(now)
			.filter(
				({digest}) =>
					digest?.isReading === true &&
					!digest.isStoreLost &&
					digest.configurationVersion < 0,
			);
		return waiting.length >= minimumWaitingReaders;
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
