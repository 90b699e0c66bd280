/* eslint no-bitwise: "off" -- addresses are bits */
/** Slot states kept in the array of lengths; lengths are at most 128. */
const emptySlot = 0;
const movedSlot = 255;

const hashRange = 2 ** 32;

const notFound = -1;

/** The last word of a slot is its length, then the site in the low bits. */
const siteBits = 16;
const siteRange = 2 ** siteBits;

/**
 * One array of slots with linear probing. A key is the words of a block and
 * its length, which is never 0.
 *
 * @internal
 */
export class BlockStore {
	readonly #wordCount: number;
	/** Words of each slot: those of the block, then state and site. */
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

	/** The site of a block; undefined when the block is not here. */
	findSite(words: Uint32Array, length: number): number | undefined {
		const slot = this.#findSlot(words, length);
		return slot === notFound ? undefined : this.#getMeta(slot) % siteRange;
	}

	/** Returns whether the block is new. */
	set(words: Uint32Array, length: number, site: number): boolean {
		const known = this.#findSlot(words, length);
		if (known !== notFound) {
			this.#setMeta(known, length, site);
			return false;
		}

		let slot = this.#toSlot(words, length);
		while (this.#getLength(slot) !== emptySlot) {
			slot = this.#getNext(slot);
		}

		const start = slot * this.#slotWords;
		for (let index = 0; index < this.#wordCount; index++) {
			this.#slots[start + index] = words[index]!;
		}

		this.#setMeta(slot, length, site);
		this.#size++;
		return true;
	}

	/** Closes the gap by moving later slots of the same run back. */
	remove(words: Uint32Array, length: number): boolean {
		let gap = this.#findSlot(words, length);
		if (gap === notFound) {
			return false;
		}

		let slot = this.#getNext(gap);
		while (this.#getLength(slot) !== emptySlot) {
			const home = this.#getHome(slot);
			if (this.#getDistance(home, slot) >= this.#getDistance(gap, slot)) {
				this.#setSlot(slot, gap);
				gap = slot;
			}

			slot = this.#getNext(slot);
		}

		this.#setMeta(gap, emptySlot, 0);
		this.#size--;
		return true;
	}

	/** Marks a block as gone without closing the gap, while moving out. */
	clear(words: Uint32Array, length: number): boolean {
		const slot = this.#findSlot(words, length);
		if (slot === notFound) {
			return false;
		}

		this.#setMeta(slot, movedSlot, 0);
		this.#size--;
		return true;
	}

	/** Moves the block of one slot, if there is one, into another store. */
	giveSlot(slot: number, other: BlockStore): void {
		const length = this.#getLength(slot);
		if (length === emptySlot || length === movedSlot) {
			return;
		}

		const site = this.#getMeta(slot) % siteRange;
		other.set(this.#getWords(slot), length, site);
		this.#setMeta(slot, movedSlot, 0);
		this.#size--;
	}

	#getWords(slot: number): Uint32Array {
		const start = slot * this.#slotWords;
		return this.#slots.subarray(start, start + this.#wordCount);
	}

	#findSlot(words: Uint32Array, length: number): number {
		const slots = this.#slots;
		const wordCount = this.#wordCount;
		let slot = this.#toSlot(words, length);
		for (;;) {
			const start = slot * this.#slotWords;
			const found = slots[start + wordCount]! >>> siteBits;
			if (found === emptySlot) {
				return notFound;
			}

			if (found === length && this.#hasWords(start, words)) {
				return slot;
			}

			slot = slot + 1 === this.capacity ? 0 : slot + 1;
		}
	}

	#hasWords(start: number, words: Uint32Array): boolean {
		for (let index = 0; index < this.#wordCount; index++) {
			if (this.#slots[start + index] !== words[index]) {
				return false;
			}
		}

		return true;
	}

	#getMeta(slot: number): number {
		return this.#slots[slot * this.#slotWords + this.#wordCount]!;
	}

	#setMeta(slot: number, length: number, site: number): void {
		const place = slot * this.#slotWords + this.#wordCount;
		this.#slots[place] = length * siteRange + site;
	}

	#getLength(slot: number): number {
		return this.#getMeta(slot) >>> siteBits;
	}

	/** The finaliser of MurmurHash3 over the words and the length. */
	#toSlot(words: Uint32Array, length: number): number {
		let hash = length;
		for (let index = 0; index < this.#wordCount; index++) {
			hash = Math.imul(hash ^ words[index]!, 0x85_eb_ca_6b);
			hash ^= hash >>> 13;
			hash = Math.imul(hash, 0xc2_b2_ae_35);
			hash ^= hash >>> 16;
		}

		return Math.floor(((hash >>> 0) / hashRange) * this.capacity);
	}

	#getHome(slot: number): number {
		return this.#toSlot(this.#getWords(slot), this.#getLength(slot));
	}

	#getNext(slot: number): number {
		return slot + 1 === this.capacity ? 0 : slot + 1;
	}

	#getDistance(from: number, to: number): number {
		return (to - from + this.capacity) % this.capacity;
	}

	#setSlot(from: number, to: number): void {
		const start = from * this.#slotWords;
		const end = start + this.#slotWords;
		this.#slots.copyWithin(to * this.#slotWords, start, end);
	}
}
