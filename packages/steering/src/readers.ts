import type {Milliseconds} from '@parsleyvale/shared';
import type {Beliefs} from './beliefs.js';
import {computeHash} from './hash.js';

/** Hosts that read the store for all: some may be lost, or cut from it, at once. */
const readerCount = 5;
/** A host whose configuration has not been confirmed for so long asks the store itself. */
const longestUnconfirmed: Milliseconds = 3000;

/**
 * Which hosts follow the store. Its calls are limited and do not grow with the
 * fleet: a few hosts follow it, the others learn from them by digests and
 * copies.
 */
export class Readers {
	readonly #beliefs: Beliefs;

	constructor(beliefs: Beliefs) {
		this.#beliefs = beliefs;
	}

	/** Whether this host should follow the store now. */
	isReader(now: Milliseconds): boolean {
		const {configuration, fleet} = this.#beliefs;
		return (
			fleet.revision < 0 ||
			configuration.computeAge(now) > longestUnconfirmed ||
			this.#isAmongFirst(now)
		);
	}

	/** Hosts that cannot reach the store do not count. */
	#isAmongFirst(now: Milliseconds): boolean {
		const {members, settings} = this.#beliefs;
		const own = computeHash(`reader/${settings.self.name}`);
		const before = members
			.listLive(now)
			.filter(
				({host, digest}) =>
					digest?.isStoreLost === false &&
					computeHash(`reader/${host.name}`) > own,
			);
		return before.length < readerCount;
	}
}
