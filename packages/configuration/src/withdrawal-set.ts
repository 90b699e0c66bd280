const digestDigits = 16;
const digestRange = 2n ** 64n;

/**
 * The hashes of all withdrawn keys. It only grows. The digest of two sets is
 * equal when they are, but for a chance of 1 in 2^64.
 *
 * @internal
 */
export class WithdrawalSet {
	readonly #hashes = new Set<string>();
	#digest = 0n;

	get size(): number {
		return this.#hashes.size;
	}

	get digest(): string {
		return `${this.#hashes.size}-${this.#digest.toString(16)}`;
	}

	has(hash: string): boolean {
		return this.#hashes.has(hash);
	}

	/** Returns whether the hash was new. */
	add(hash: string): boolean {
		if (this.#hashes.has(hash)) {
			return false;
		}

		this.#hashes.add(hash);
		const part = BigInt(`0x${hash.slice(0, digestDigits)}`);
		this.#digest = (this.#digest + part) % digestRange;
		return true;
	}

	/** Returns the hashes that were new. */
	addAll(hashes: Iterable<string>): string[] {
		return [...hashes].filter((hash) => this.add(hash));
	}

	list(): string[] {
		return [...this.#hashes];
	}

	/** Whether every hash of this set is in the other. */
	isWithin(other: WithdrawalSet): boolean {
		return this.list().every((hash) => other.has(hash));
	}
}
