import {createHash} from 'node:crypto';

type Place = {readonly name: string; readonly position: string};

/**
 * The hosts in the order of a hash of their names. Each is watched by its
 * successors; all hosts that know the same names work out the same ring.
 *
 * @internal
 */
export class Ring {
	#places: Place[] = [];
	#members = new Set<string>();
	readonly #positions = new Map<string, string>();

	/** Sorts only when the names have changed. */
	set(names: readonly string[]): void {
		const isSame =
			names.length === this.#places.length &&
			names.every((name) => this.#members.has(name));
		if (isSame) {
			return;
		}

		this.#members = new Set(names);
		this.#places = names
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
		const {length} = this.#places;
		const start = this.#places.findIndex((place) => place.name === name);
		const found = Math.min(count, length - 1);
		return Array.from({length: Math.max(0, found)}, (_, index) => {
			const offset = start + step * (index + 1);
			return this.#places[(offset + length) % length]!.name;
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
