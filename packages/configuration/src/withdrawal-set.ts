/** Hexadecimal digits of each hash that count for the digest: 64 bits. */
const digestPrefixLength = 16;
const digestModulus = 2n ** 64n;

/**
 * A grow-only set of the hashes of withdrawn keys. Equal sets have equal
 * digests; different sets have equal digests with a probability of 1 in 2^64.
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
		const hashValue = BigInt(`0x${hash.slice(0, digestPrefixLength)}`);
		this.#digest = (this.#digest + hashValue) % digestModulus;
		return true;
	}

	/** Returns the hashes that were new. */
	addAll(hashes: Iterable<string>): string[] {
		return [...hashes].filter((hash) => this.add(hash));
	}

	list(): string[] {
		return [...this.#hashes];
	}

	isSubsetOf(other: WithdrawalSet): boolean {
		return this.list().every((hash) => other.has(hash));
	}
}
