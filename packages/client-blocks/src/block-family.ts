/* eslint no-bitwise: "off" -- addresses are bits */
import {toWordMask, type AddressWords, type Block} from './address.js';
import {BlockStore} from './block-store.js';

const wordBits = 32;
const smallestCapacity = 64;
const largestFill = 0.75;
const growth = 1.5;

/** Slots moved to the larger store with each change. */
const slotsPerChange = 32;

/** Size of the index, as a power of two, from the blocks to expect. */
const smallestIndexBits = 10;
const largestIndexBits = 20;

/** Lengths from here on are indexed, by as many first bits. */
const indexedBitsOfIpv4 = 20;
const indexedBitsOfIpv6 = 44;

const mostWords = 4;
const longestLength = mostWords * wordBits;

/** The masks of all words of all lengths. */
const masks = Uint32Array.from(
	{length: (longestLength + 1) * mostWords},
	(_, index) => toWordMask(Math.floor(index / mostWords), index % mostWords),
);

/**
 * The blocks of one family of addresses, in a hash table by block and length.
 * An index tells which lengths occur under the first bits of an address, so
 * that a look-up tries only those, longest first. The table grows in slices:
 * each change moves some slots to the larger store.
 *
 * @internal
 */
export class BlockFamily {
	readonly #wordCount: number;
	readonly #indexBits: number;
	readonly #indexedBits: number;
	/** For each hash of the first bits: a bit per length that occurs there. */
	readonly #lengthsAt: Uint32Array;
	/** Lengths too short to be indexed by the first bits. */
	readonly #shortLengths: Uint32Array;
	readonly #probe: Uint32Array;
	#store: BlockStore;
	#old: BlockStore | undefined;
	#oldSlot = 0;
	#wholeSite: number | undefined;

	constructor(wordCount: number, expectedBlocks: number) {
		this.#wordCount = wordCount;
		this.#indexBits = Math.min(
			largestIndexBits,
			Math.max(smallestIndexBits, Math.ceil(Math.log2(expectedBlocks + 1))),
		);
		this.#indexedBits = wordCount === 1 ? indexedBitsOfIpv4 : indexedBitsOfIpv6;
		this.#lengthsAt = new Uint32Array(wordCount * 2 ** this.#indexBits);
		this.#shortLengths = new Uint32Array(wordCount);
		this.#probe = new Uint32Array(wordCount);
		const capacity = Math.ceil(expectedBlocks / largestFill) + 1;
		this.#store = new BlockStore(
			Math.max(smallestCapacity, capacity),
			wordCount,
		);
	}

	get size(): number {
		const whole = this.#wholeSite === undefined ? 0 : 1;
		return this.#store.size + (this.#old?.size ?? 0) + whole;
	}

	get bytes(): number {
		return (
			this.#store.bytes + (this.#old?.bytes ?? 0) + this.#lengthsAt.byteLength
		);
	}

	get isMoving(): boolean {
		return this.#old !== undefined;
	}

	/** The site of the longest block that holds the address. */
	findSite(address: AddressWords): number | undefined {
		const index = this.#toIndex(address);
		for (let word = this.#wordCount - 1; word >= 0; word--) {
			let lengths = this.#lengthsAt[index + word]! | this.#shortLengths[word]!;
			while (lengths !== 0) {
				// Bit 0 stands for the longest length of the word.
				const bit = 31 - Math.clz32(lengths & -lengths);
				const site = this.#findAtLength(address, (word + 1) * wordBits - bit);
				if (site !== undefined) {
					return site;
				}

				lengths &= lengths - 1;
			}
		}

		return this.#wholeSite;
	}

	set(block: Block, site: number): void {
		if (block.length === 0) {
			this.#wholeSite = site;
			return;
		}

		this.#addRoom();
		this.#old?.clear(block.words, block.length);
		this.#store.set(block.words, block.length, site);
		this.#addLength(block);
	}

	remove(block: Block): boolean {
		if (block.length === 0) {
			const wasKnown = this.#wholeSite !== undefined;
			this.#wholeSite = undefined;
			return wasKnown;
		}

		this.advance(slotsPerChange);
		const wasOld = this.#old?.clear(block.words, block.length) ?? false;
		return this.#store.remove(block.words, block.length) || wasOld;
	}

	/** Moves up to so many slots of the smaller store. */
	advance(slots: number): void {
		if (this.#old === undefined) {
			return;
		}

		const end = Math.min(this.#old.capacity, this.#oldSlot + slots);
		for (; this.#oldSlot < end; this.#oldSlot++) {
			this.#old.giveSlot(this.#oldSlot, this.#store);
		}

		if (this.#oldSlot === this.#old.capacity) {
			this.#old = undefined;
		}
	}

	#findAtLength(address: AddressWords, length: number): number | undefined {
		const probe = this.#probe;
		for (let word = 0; word < this.#wordCount; word++) {
			probe[word] = address[word]! & masks[length * mostWords + word]!;
		}

		const site = this.#store.findSite(probe, length);
		return site === undefined && this.#old !== undefined
			? this.#old.findSite(probe, length)
			: site;
	}

	#addRoom(): void {
		this.advance(slotsPerChange);
		const {capacity} = this.#store;
		if (this.size < capacity * largestFill) {
			return;
		}

		// A store that fills before the move is over finishes it first.
		this.advance(Number.POSITIVE_INFINITY);
		this.#old = this.#store;
		this.#oldSlot = 0;
		this.#store = new BlockStore(Math.ceil(capacity * growth), this.#wordCount);
	}

	/** Lengths of removed blocks stay: they cost time and give no false site. */
	#addLength({words, length}: Block): void {
		const word = Math.floor((length - 1) / wordBits);
		const bit = 1 << ((word + 1) * wordBits - length);
		if (length < this.#indexedBits) {
			this.#shortLengths[word]! |= bit;
		} else {
			this.#lengthsAt[this.#toIndex(words) + word]! |= bit;
		}
	}

	/** A hash of the first bits, by the golden ratio. */
	#toIndex(address: AddressWords): number {
		let first = address[0]!;
		if (this.#wordCount === 1) {
			first >>>= wordBits - indexedBitsOfIpv4;
		} else {
			first = Math.imul(first, 0x85_eb_ca_6b);
			first ^= address[1]! >>> (2 * wordBits - indexedBitsOfIpv6);
		}

		const hash = Math.imul(first, 0x9e_37_79_b1);
		return (hash >>> (wordBits - this.#indexBits)) * this.#wordCount;
	}
}
