import {
	parseAddress,
	parseBlock,
	type AddressWords,
	type Block,
} from './address.js';
import {BlockFamily} from './block-family.js';

const wordsOfIpv4 = 1;
const wordsOfIpv6 = 4;
const largestSite = 2 ** 16 - 1;

/** How many blocks to make room for from the start. */
export type ClientBlockTableOptions = {
	readonly expectedIpv4Blocks?: number;
	readonly expectedIpv6Blocks?: number;
};

/**
 * Blocks of clients' addresses and the number of the site that serves each. A
 * change takes effect at once and takes a bounded time, also while the table
 * grows.
 */
export class ClientBlockTable {
	readonly #ipv4: BlockFamily;
	readonly #ipv6: BlockFamily;

	constructor(options: ClientBlockTableOptions) {
		this.#ipv4 = new BlockFamily(wordsOfIpv4, options.expectedIpv4Blocks ?? 0);
		this.#ipv6 = new BlockFamily(wordsOfIpv6, options.expectedIpv6Blocks ?? 0);
	}

	/** Number of blocks. */
	get size(): number {
		return this.#ipv4.size + this.#ipv6.size;
	}

	/** Bytes that the table's arrays take. */
	get bytes(): number {
		return this.#ipv4.bytes + this.#ipv6.bytes;
	}

	/** Whether a larger store is being filled; `advance` hastens it. */
	get isMoving(): boolean {
		return this.#ipv4.isMoving || this.#ipv6.isMoving;
	}

	/** The site of the longest block that holds an address in text. */
	findByText(address: string): number | undefined {
		const words = parseAddress(address);
		return words === undefined ? undefined : this.findByWords(words);
	}

	/** The same for an address that has been parsed. */
	findByWords(address: AddressWords): number | undefined {
		return this.#getFamily(address).findSite(address);
	}

	/**
	 * Gives a block to a site. Throws on text that is not a block and on a site
	 * number that does not fit; `parseBlock` judges what people wrote.
	 */
	set(block: string | Block, site: number): void {
		if (!Number.isInteger(site) || site < 0 || site > largestSite) {
			throw new RangeError(`Sites are numbered from 0 to ${largestSite}.`);
		}

		const parsed = this.#toBlock(block);
		this.#getFamily(parsed.words).set(parsed, site);
	}

	/** Returns whether the block was there. */
	remove(block: string | Block): boolean {
		const parsed = this.#toBlock(block);
		return this.#getFamily(parsed.words).remove(parsed);
	}

	/** Goes on, in idle moments, with moving slots to a larger store. */
	advance(slots: number): void {
		this.#ipv4.advance(slots);
		this.#ipv6.advance(slots);
	}

	#toBlock(block: string | Block): Block {
		if (typeof block !== 'string') {
			return block;
		}

		const parsed = parseBlock(block);
		if (parsed.isErr) {
			throw new RangeError(parsed.error);
		}

		return parsed.value;
	}

	#getFamily(address: AddressWords): BlockFamily {
		return address.length === wordsOfIpv4 ? this.#ipv4 : this.#ipv6;
	}
}

/**
 * An empty table.
 *
 * @example
 * const table = createClientBlockTable();
 * table.set('192.0.2.0/24', 7);
 * table.findByText('192.0.2.1'); // 7
 */
export function createClientBlockTable(
	options: ClientBlockTableOptions = {},
): ClientBlockTable {
	return new ClientBlockTable(options);
}
