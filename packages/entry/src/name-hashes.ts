import {computeHash} from '@parsleyvale/steering';

/**
 * Hashes of the names that hosts exchange, and the names by their hashes. A name
 * that shares its hash with another one is attributed to the one added last.
 */
export class NameHashes {
	readonly #hashes = new Map<string, number>();
	#names = new Map<number, string>();

	/** Replaces the known names. */
	setNames(names: Iterable<string>): void {
		this.#names = new Map();
		for (const name of names) {
			this.#names.set(this.toHash(name), name);
		}

		for (const name of this.#hashes.keys()) {
			if (!this.#names.has(this.#hashes.get(name)!)) {
				this.#hashes.delete(name);
			}
		}
	}

	toHash(name: string): number {
		const known = this.#hashes.get(name);
		if (known !== undefined) {
			return known;
		}

		const hash = computeHash(name);
		this.#hashes.set(name, hash);
		return hash;
	}

	/** Returns undefined for the hash of a name that is not known here. */
	findName(hash: number): string | undefined {
		return this.#names.get(hash);
	}
}
