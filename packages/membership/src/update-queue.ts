import type {Update} from './messages.js';

/** Transmissions of each update, per doubling of the fleet size. */
const retransmitMultiplier = 3;

type Entry = {readonly update: Update; sendCount: number};

/**
 * Membership updates to gossip, least often sent first.
 *
 * @internal
 */
export class UpdateQueue {
	readonly #entries = new Map<string, Entry>();

	/** Replaces a queued update about the same host by the same reporter. */
	add(update: Update): void {
		const id = `${update.name} ${update.reporter ?? ''}`;
		this.#entries.set(id, {update, sendCount: 0});
	}

	take(count: number, fleetSize: number): Update[] {
		const limit = retransmitMultiplier * Math.ceil(Math.log2(fleetSize + 1));
		const chosen = [...this.#entries]
			.sort(([, a], [, b]) => a.sendCount - b.sendCount)
			.slice(0, count);
		for (const [id, entry] of chosen) {
			entry.sendCount++;
			if (entry.sendCount >= limit) {
				this.#entries.delete(id);
			}
		}

		return chosen.map(([, entry]) => entry.update);
	}
}
