/* eslint no-bitwise: "off" -- addresses are bits */
/** Slot states kept in the array of lengths; lengths are at most 128. */
const emptySlot = 0;
const movedSlot = 255;

const hashRange = 2 ** 32;

const notFound = -1;

/**
 * One array of slots with linear probing. A key is the words of a block and
 * its length, which is never 0.
 *
 * @internal
 */
export class BlockStore {
	readonly #wordCount: number;
	readonly #words: Uint32Array;
	readonly #lengths: Uint8Array;
	readonly #sites: Uint16Array;
	#size = 0;

	constructor(
		readonly capacity: number,
		wordCount: number,
	) {
		this.#wordCount = wordCount;
		this.#words = new Uint32Array(capacity * wordCount);
		this.#lengths = new Uint8Array(capacity);
		this.#sites = new Uint16Array(capacity);
	}

	get size(): number {
		return this.#size;
	}

	get bytes(): number {
		return (
			this.#words.byteLength + this.#lengths.byteLength + this.#sites.byteLength
		);
	}

	/** The site of a block; undefined when the block is not here. */
	findSite(words: Uint32Array, length: number): number | undefined {
		const slot = this.#findSlot(words, length);
		return slot === notFound ? undefined : this.#sites[slot];
	}

	/** Returns whether the block is new. */
	set(words: Uint32Array, length: number, site: number): boolean {
		const known = this.#findSlot(words, length);
		if (known !== notFound) {
			this.#sites[known] = site;
			return false;
		}

		let slot = this.#toSlot(words, length);
		while (this.#lengths[slot] !== emptySlot) {
			slot = this.#getNext(slot);
		}

		this.#words.set(words, slot * this.#wordCount);
		this.#lengths[slot] = length;
		this.#sites[slot] = site;
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
		while (this.#lengths[slot] !== emptySlot) {
			const home = this.#getHome(slot);
			if (this.#getDistance(home, slot) >= this.#getDistance(gap, slot)) {
				this.#copySlot(slot, gap);
				gap = slot;
			}

			slot = this.#getNext(slot);
		}

		this.#lengths[gap] = emptySlot;
		this.#size--;
		return true;
	}

	/** Marks a block as gone without closing the gap, while moving out. */
	clear(words: Uint32Array, length: number): boolean {
		const slot = this.#findSlot(words, length);
		if (slot === notFound) {
			return false;
		}

		this.#lengths[slot] = movedSlot;
		this.#size--;
		return true;
	}

	/** Moves the block of one slot, if there is one, into another store. */
	moveSlot(slot: number, other: BlockStore): void {
		const length = this.#lengths[slot]!;
		if (length === emptySlot || length === movedSlot) {
			return;
		}

		other.set(this.#getWords(slot), length, this.#sites[slot]!);
		this.#lengths[slot] = movedSlot;
		this.#size--;
	}

	#getWords(slot: number): Uint32Array {
		const start = slot * this.#wordCount;
		return this.#words.subarray(start, start + this.#wordCount);
	}

	#findSlot(words: Uint32Array, length: number): number {
		let slot = this.#toSlot(words, length);
		let found = this.#lengths[slot];
		while (found !== emptySlot) {
			if (found === length && this.#hasWords(slot, words)) {
				return slot;
			}

			slot = slot + 1 === this.capacity ? 0 : slot + 1;
			found = this.#lengths[slot];
		}

		return notFound;
	}

	#hasWords(slot: number, words: Uint32Array): boolean {
		const start = slot * this.#wordCount;
		for (let index = 0; index < this.#wordCount; index++) {
			if (this.#words[start + index] !== words[index]) {
				return false;
			}
		}

		return true;
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
		return this.#toSlot(this.#getWords(slot), this.#lengths[slot]!);
	}

	#getNext(slot: number): number {
		return slot + 1 === this.capacity ? 0 : slot + 1;
	}

	#getDistance(from: number, to: number): number {
		return (to - from + this.capacity) % this.capacity;
	}

	#copySlot(from: number, to: number): void {
		const start = from * this.#wordCount;
		this.#words.copyWithin(
			to * this.#wordCount,
			start,
			start + this.#wordCount,
		);
		this.#lengths[to] = this.#lengths[from]!;
		this.#sites[to] = this.#sites[from]!;
	}
}
