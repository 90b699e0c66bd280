import type {Milliseconds} from '@parsleyvale/shared';
import type {HostState} from './host-state.js';
import {computeHash} from './hash.js';

/** Number of hosts that read from the store for all others; several of them may fail or be partitioned at once. */
const readerCount = 5;
/** A host reads from the store itself if its configuration has not been confirmed for this long. */
const maximumConfirmationAge: Milliseconds = 3000;

/**
 * Decides whether this host reads from the store. So that the store's load does
 * not grow with the fleet, only a few hosts do; the others get its data from them
 * by digests and fetched copies.
 */
export class StoreReaders {
	readonly #hostState: HostState;

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
		const {members, settings} = this.#hostState;
		const ownHash = computeHash(`reader/${settings.self.name}`);
		const higherRanked = members
			.listLive(now)
			.filter(
				({host, digest}) =>
					digest?.isStoreLost === false &&
					computeHash(`reader/${host.name}`) > ownHash,
			);
		return higherRanked.length < readerCount;
	}
}
