import {createHash} from 'node:crypto';

type RingEntry = {readonly name: string; readonly position: string};

/**
 * A ring of hosts ordered by a hash of their names. Each host is monitored by
 * its successors. Hosts that know the same names compute the same ring.
 *
 * @internal
 */
export class Ring {
	#entries: RingEntry[] = [];
	#members = new Set<string>();
	readonly #positions = new Map<string, string>();

	/** Sorts only if the names have changed. */
	set(names: readonly string[]): void {
		const isSame =
			names.length === this.#entries.length &&
			names.every((name) => this.#members.has(name));
		if (isSame) {
			return;
		}

		this.#members = new Set(names);
		this.#entries = names
			.map((name) => ({name, position: this.#getPosition(name)}))
			.sort((a, b) => (a.position < b.position ? -1 : 1));
	}

	listSuccessors(name: string, count: number): string[] {
		return this.#listNeighbours(name, count, 1);
	}

	listPredecessors(name: string, count: number): string[] {
		return this.#listNeighbours(name, count, -1);
	}

	#listNeighbours(name: string, count: number, step: 1 | -1): string[] {
		const {length} = this.#entries;
		const start = this.#entries.findIndex((entry) => entry.name === name);
		const available = Math.min(count, length - 1);
		return Array.from({length: Math.max(0, available)}, (_, index) => {
			const offset = start + step * (index + 1);
			return this.#entries[(offset + length) % length]!.name;
		});
	}

	#getPosition(name: string): string {
		let position = this.#positions.get(name);
		if (position === undefined) {
			position = createHash('sha256').update(name).digest('hex');
			this.#positions.set(name, position);
		}

		return position;
	}
}
