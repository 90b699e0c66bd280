import {
	parseAddress,
	parseBlock,
	type AddressWords,
	type Block,
} from './address.js';
import {AddressFamilyTable} from './address-family-table.js';

const ipv4WordCount = 1;
const ipv6WordCount = 4;
const maxSite = 2 ** 16 - 1;

/** Number of blocks of each address family for which to allocate memory. */
export type ClientBlockTableOptions = {
	readonly expectedIpv4Blocks?: number;
	readonly expectedIpv6Blocks?: number;
};

/**
 * Maps CIDR blocks of client addresses to the number of the site that serves
 * them. A change takes effect immediately and takes a bounded time, also during
 * a resize.
 */
export class ClientBlockTable {
	readonly #ipv4: AddressFamilyTable;
	readonly #ipv6: AddressFamilyTable;

	constructor(options: ClientBlockTableOptions) {
		this.#ipv4 = new AddressFamilyTable(
			ipv4WordCount,
			options.expectedIpv4Blocks ?? 0,
		);
		this.#ipv6 = new AddressFamilyTable(
			ipv6WordCount,
			options.expectedIpv6Blocks ?? 0,
		);
	}

	/** Number of blocks. */
	get size(): number {
		return this.#ipv4.size + this.#ipv6.size;
	}

	/** Memory used by the table's arrays, in bytes. */
	get bytes(): number {
		return this.#ipv4.bytes + this.#ipv6.bytes;
	}

	/** Whether an incremental resize is in progress. */
	get isResizing(): boolean {
		return this.#ipv4.isResizing || this.#ipv6.isResizing;
	}

	/** Returns the site of the longest block that contains an address. */
	findByText(address: string): number | undefined {
		const words = parseAddress(address);
		return words === undefined ? undefined : this.findByWords(words);
	}

	/** Like `findByText`, for a parsed address. */
	findByWords(address: AddressWords): number | undefined {
		return this.#getFamilyTable(address).findSite(address);
	}

	/**
	 * Assigns a block to a site. Throws on an invalid block or site number; use
	 * `parseBlock` to validate user input.
	 */
	set(block: string | Block, site: number): void {
		if (!Number.isInteger(site) || site < 0 || site > maxSite) {
			throw new RangeError(
				`The site number must be an integer from 0 to ${maxSite}.`,
			);
		}

		const parsedBlock = this.#parseIfText(block);
		this.#getFamilyTable(parsedBlock.words).set(parsedBlock, site);
	}

	/** Removes a block; returns whether the table contained it. */
	remove(block: string | Block): boolean {
		const parsedBlock = this.#parseIfText(block);
		return this.#getFamilyTable(parsedBlock.words).remove(parsedBlock);
	}

	/** Moves up to `slots` slots of a resize; meant to be called when idle. */
	continueResize(slots: number): void {
		this.#ipv4.continueResize(slots);
		this.#ipv6.continueResize(slots);
	}

	#parseIfText(block: string | Block): Block {
		if (typeof block !== 'string') {
			return block;
		}

		const parsed = parseBlock(block);
		if (parsed.isErr) {
			throw new RangeError(parsed.error);
		}

		return parsed.value;
	}

	#getFamilyTable(address: AddressWords): AddressFamilyTable {
		return address.length === ipv4WordCount ? this.#ipv4 : this.#ipv6;
	}
}

/**
 * Creates an empty table.
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
