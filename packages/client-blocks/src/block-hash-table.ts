/* eslint no-bitwise: "off" -- addresses are bits */
/** Slot states stored in place of a prefix length, which is from 1 to 128. */
const emptySlot = 0;
const tombstone = 255;

const hashRange = 2 ** 32;

const notFound = -1;

/** The last word of a slot: length in the high bits, site in the low bits. */
const siteBits = 16;
const siteValueRange = 2 ** siteBits;

/**
 * A hash table of fixed capacity with linear probing. A key consists of the
 * words of a block and its prefix length, which is never 0.
 *
 * @internal
 */
export class BlockHashTable {
	readonly #wordCount: number;
	/** Each slot has the words of the block, then a word of length and site. */
	readonly #slots: Uint32Array;
	readonly #slotWords: number;
	#size = 0;

	constructor(
		readonly capacity: number,
		wordCount: number,
	) {
		this.#wordCount = wordCount;
		this.#slotWords = wordCount + 1;
		this.#slots = new Uint32Array(capacity * this.#slotWords);
	}

	get size(): number {
		return this.#size;
	}

	get bytes(): number {
		return this.#slots.byteLength;
	}

	/** Returns the site of a block; undefined if the table does not contain it. */
	findSite(words: Uint32Array, length: number): number | undefined {
		const slot = this.#findSlot(words, length);
		return slot === notFound
			? undefined
			: this.#getMetadata(slot) % siteValueRange;
	}

	/** Adds or updates a block; returns whether it is new. */
	set(words: Uint32Array, length: number, site: number): boolean {
		const knownSlot = this.#findSlot(words, length);
		if (knownSlot !== notFound) {
			this.#setMetadata(knownSlot, length, site);
			return false;
		}

		let slot = this.#computeHomeSlot(words, length);
		while (this.#getLength(slot) !== emptySlot) {
			slot = this.#getNextSlot(slot);
		}

		const offset = slot * this.#slotWords;
		for (let index = 0; index < this.#wordCount; index++) {
			this.#slots[offset + index] = words[index]!;
		}

		this.#setMetadata(slot, length, site);
		this.#size++;
		return true;
	}

	/** Removes a block and moves later slots of the probe sequence into the gap. */
	remove(words: Uint32Array, length: number): boolean {
		let gap = this.#findSlot(words, length);
		if (gap === notFound) {
			return false;
		}

		let slot = this.#getNextSlot(gap);
		while (this.#getLength(slot) !== emptySlot) {
			const homeSlot = this.#getHomeSlot(slot);
			if (this.#getDistance(homeSlot, slot) >= this.#getDistance(gap, slot)) {
				this.#copySlot(slot, gap);
				gap = slot;
			}

			slot = this.#getNextSlot(slot);
		}

		this.#setMetadata(gap, emptySlot, 0);
		this.#size--;
		return true;
	}

	/**
	 * Removes a block without closing the gap, so that slots keep their positions
	 * while the table is moved to a larger one.
	 */
	replaceWithTombstone(words: Uint32Array, length: number): boolean {
		const slot = this.#findSlot(words, length);
		if (slot === notFound) {
			return false;
		}

		this.#setMetadata(slot, tombstone, 0);
		this.#size--;
		return true;
	}

	/** Moves the block of a slot, if any, to another hash table. */
	moveSlotTo(slot: number, target: BlockHashTable): void {
		const length = this.#getLength(slot);
		if (length === emptySlot || length === tombstone) {
			return;
		}

		const site = this.#getMetadata(slot) % siteValueRange;
		target.set(this.#getWords(slot), length, site);
		this.#setMetadata(slot, tombstone, 0);
		this.#size--;
	}

	#getWords(slot: number): Uint32Array {
		const offset = slot * this.#slotWords;
		return this.#slots.subarray(offset, offset + this.#wordCount);
	}

	#findSlot(words: Uint32Array, length: number): number {
		const slots = this.#slots;
		const wordCount = this.#wordCount;
		let slot = this.#computeHomeSlot(words, length);
		for (;;) {
			const offset = slot * this.#slotWords;
			const slotLength = slots[offset + wordCount]! >>> siteBits;
			if (slotLength === emptySlot) {
				return notFound;
			}

			if (slotLength === length && this.#hasWords(offset, words)) {
				return slot;
			}

			slot = slot + 1 === this.capacity ? 0 : slot + 1;
		}
	}

	#hasWords(offset: number, words: Uint32Array): boolean {
		for (let index = 0; index < this.#wordCount; index++) {
			if (this.#slots[offset + index] !== words[index]) {
				return false;
			}
		}

		return true;
	}

	#getMetadata(slot: number): number {
		return this.#slots[slot * this.#slotWords + this.#wordCount]!;
	}

	#setMetadata(slot: number, length: number, site: number): void {
		const offset = slot * this.#slotWords + this.#wordCount;
		this.#slots[offset] = length * siteValueRange + site;
	}

	#getLength(slot: number): number {
		return this.#getMetadata(slot) >>> siteBits;
	}

	/** Hashes the words and the length with the finalizer of MurmurHash3. */
	#computeHomeSlot(words: Uint32Array, length: number): number {
		let hash = length;
		for (let index = 0; index < this.#wordCount; index++) {
			hash = Math.imul(hash ^ words[index]!, 0x85_eb_ca_6b);
			hash ^= hash >>> 13;
			hash = Math.imul(hash, 0xc2_b2_ae_35);
			hash ^= hash >>> 16;
		}

		return Math.floor(((hash >>> 0) / hashRange) * this.capacity);
	}

	#getHomeSlot(slot: number): number {
		return this.#computeHomeSlot(this.#getWords(slot), this.#getLength(slot));
	}

	#getNextSlot(slot: number): number {
		return slot + 1 === this.capacity ? 0 : slot + 1;
	}

	#getDistance(from: number, to: number): number {
		return (to - from + this.capacity) % this.capacity;
	}

	#copySlot(from: number, to: number): void {
		const start = from * this.#slotWords;
		const end = start + this.#slotWords;
		this.#slots.copyWithin(to * this.#slotWords, start, end);
	}
}
