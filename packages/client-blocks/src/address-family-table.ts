/* eslint no-bitwise: "off" -- addresses are bits */
import {toWordMask, type AddressWords, type Block} from './address.js';
import {BlockHashTable} from './block-hash-table.js';

const wordBits = 32;
const minCapacity = 64;
const maxLoadFactor = 0.75;
const growthFactor = 1.5;

/** Slots moved to the larger hash table with each change. */
const slotsMovedPerChange = 32;

/** Bounds on the size of the index, as exponents of 2. */
const minIndexBits = 10;
const maxIndexBits = 20;

/** Prefix lengths from here on are indexed by that many leading bits. */
const indexedBitsOfIpv4 = 20;
const indexedBitsOfIpv6 = 44;

const maxWordCount = 4;
const maxPrefixLength = maxWordCount * wordBits;

/** Masks of each word for all prefix lengths. */
const wordMasks = Uint32Array.from(
	{length: (maxPrefixLength + 1) * maxWordCount},
	(_, index) =>
		toWordMask(Math.floor(index / maxWordCount), index % maxWordCount),
);

/**
 * The blocks of one address family, in a hash table keyed by block and prefix
 * length. An index holds the prefix lengths that occur under the leading bits of
 * an address, so that a look-up tries only those, longest first. Resizing is
 * incremental: each change moves some slots to the larger hash table.
 *
 * @internal
 */
export class AddressFamilyTable {
	readonly #wordCount: number;
	readonly #indexBits: number;
	readonly #indexedBits: number;
	/** For each hash of the leading bits, a bitmap of the lengths in use. */
	readonly #indexedLengths: Uint32Array;
	/** Bitmap of the lengths in use that are too short for the index. */
	readonly #shortLengths: Uint32Array;
	/** Reused by look-ups, to avoid an allocation for each length. */
	readonly #probe: Uint32Array;
	#table: BlockHashTable;
	#oldTable: BlockHashTable | undefined;
	#nextOldSlot = 0;
	/** Site of the block of length 0, which contains all addresses. */
	#defaultSite: number | undefined;

	constructor(wordCount: number, expectedBlocks: number) {
		this.#wordCount = wordCount;
		this.#indexBits = Math.min(
			maxIndexBits,
			Math.max(minIndexBits, Math.ceil(Math.log2(expectedBlocks + 1))),
		);
		this.#indexedBits = wordCount === 1 ? indexedBitsOfIpv4 : indexedBitsOfIpv6;
		this.#indexedLengths = new Uint32Array(wordCount * 2 ** this.#indexBits);
		this.#shortLengths = new Uint32Array(wordCount);
		this.#probe = new Uint32Array(wordCount);
		const capacity = Math.ceil(expectedBlocks / maxLoadFactor) + 1;
		this.#table = new BlockHashTable(
			Math.max(minCapacity, capacity),
			wordCount,
		);
	}

	get size(): number {
		const defaultCount = this.#defaultSite === undefined ? 0 : 1;
		return this.#table.size + (this.#oldTable?.size ?? 0) + defaultCount;
	}

	get bytes(): number {
		return (
			this.#table.bytes +
			(this.#oldTable?.bytes ?? 0) +
			this.#indexedLengths.byteLength
		);
	}

	get isResizing(): boolean {
		return this.#oldTable !== undefined;
	}

	/** Returns the site of the longest block that contains the address. */
	findSite(address: AddressWords): number | undefined {
		const index = this.#toIndex(address);
		for (let word = this.#wordCount - 1; word >= 0; word--) {
			let lengths =
				this.#indexedLengths[index + word]! | this.#shortLengths[word]!;
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

		return this.#defaultSite;
	}

	set(block: Block, site: number): void {
		if (block.length === 0) {
			this.#defaultSite = site;
			return;
		}

		this.#growIfNeeded();
		this.#oldTable?.replaceWithTombstone(block.words, block.length);
		this.#table.set(block.words, block.length, site);
		this.#recordLength(block);
	}

	remove(block: Block): boolean {
		if (block.length === 0) {
			const wasKnown = this.#defaultSite !== undefined;
			this.#defaultSite = undefined;
			return wasKnown;
		}

		this.continueResize(slotsMovedPerChange);
		const wasInOldTable =
			this.#oldTable?.replaceWithTombstone(block.words, block.length) ?? false;
		return this.#table.remove(block.words, block.length) || wasInOldTable;
	}

	/** Moves up to `slots` slots to the larger hash table. */
	continueResize(slots: number): void {
		if (this.#oldTable === undefined) {
			return;
		}

		const end = Math.min(this.#oldTable.capacity, this.#nextOldSlot + slots);
		for (; this.#nextOldSlot < end; this.#nextOldSlot++) {
			this.#oldTable.moveSlotTo(this.#nextOldSlot, this.#table);
		}

		if (this.#nextOldSlot === this.#oldTable.capacity) {
			this.#oldTable = undefined;
		}
	}

	#findAtLength(address: AddressWords, length: number): number | undefined {
		const probe = this.#probe;
		for (let word = 0; word < this.#wordCount; word++) {
			probe[word] = address[word]! & wordMasks[length * maxWordCount + word]!;
		}

		const site = this.#table.findSite(probe, length);
		return site === undefined && this.#oldTable !== undefined
			? this.#oldTable.findSite(probe, length)
			: site;
	}

	#growIfNeeded(): void {
		this.continueResize(slotsMovedPerChange);
		const {capacity} = this.#table;
		if (this.size < capacity * maxLoadFactor) {
			return;
		}

		// If the table fills up during a resize, that resize is completed first.
		this.continueResize(Number.POSITIVE_INFINITY);
		this.#oldTable = this.#table;
		this.#nextOldSlot = 0;
		this.#table = new BlockHashTable(
			Math.ceil(capacity * growthFactor),
			this.#wordCount,
		);
	}

	/**
	 * Records a length as in use. Lengths of removed blocks stay recorded: they
	 * cost look-up time but never give a wrong site.
	 */
	#recordLength({words, length}: Block): void {
		const word = Math.floor((length - 1) / wordBits);
		const bit = 1 << ((word + 1) * wordBits - length);
		if (length < this.#indexedBits) {
			this.#shortLengths[word]! |= bit;
		} else {
			this.#indexedLengths[this.#toIndex(words) + word]! |= bit;
		}
	}

	/** Fibonacci hashing of the leading bits. */
	#toIndex(address: AddressWords): number {
		let leadingBits = address[0]!;
		if (this.#wordCount === 1) {
			leadingBits >>>= wordBits - indexedBitsOfIpv4;
		} else {
			leadingBits = Math.imul(leadingBits, 0x85_eb_ca_6b);
			leadingBits ^= address[1]! >>> (2 * wordBits - indexedBitsOfIpv6);
		}

		const hash = Math.imul(leadingBits, 0x9e_37_79_b1);
		return (hash >>> (wordBits - this.#indexBits)) * this.#wordCount;
	}
}
