import type {Update} from './messages.js';

/** Each change is passed on this often for every doubling of the fleet. */
const sendsPerDoubling = 3;

type Entry = {readonly update: Update; sends: number};

/**
 * Changes of members to pass on to other hosts, newest and least told first.
 *
 * @internal
 */
export class UpdateQueue {
	readonly #entries = new Map<string, Entry>();

	/** Replaces what was to be told of the same host and reporter. */
	add(update: Update): void {
		const id = `${update.name} ${update.reporter ?? ''}`;
		this.#entries.set(id, {update, sends: 0});
	}

	take(count: number, fleetSize: number): Update[] {
		const limit = sendsPerDoubling * Math.ceil(Math.log2(fleetSize + 1));
		const chosen = [...this.#entries]
			.sort(([, a], [, b]) => a.sends - b.sends)
			.slice(0, count);
		for (const [id, entry] of chosen) {
			entry.sends++;
			if (entry.sends >= limit) {
				this.#entries.delete(id);
			}
		}

		return chosen.map(([, entry]) => entry.update);
	}
}
