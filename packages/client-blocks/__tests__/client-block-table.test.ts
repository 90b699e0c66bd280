import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createClientBlockTable, parseBlock} from '../src/index.js';

/** Bits of an address as a string, such as '0101'. */
type Bits = string;

const seed = 20_261;
const ipv4AddressBits = 32;
const ipv6AddressBits = 128;

/** Generates few distinct values, so that blocks often contain one another. */
function createBitsArbitrary(length: number): fc.Arbitrary<Bits> {
	return fc
		.tuple(
			fc.constantFrom('0', '1', '0000111100001111', '10'),
			fc.array(fc.constantFrom('0', '1'), {maxLength: 40}),
		)
		.map(([head, tail]) => `${head}${tail.join('')}`.padEnd(length, '0'))
		.map((bits) => bits.slice(0, length));
}

function toBlock(bits: Bits, length: number) {
	const maskedBits = bits.slice(0, length).padEnd(bits.length, '0');
	const words = maskedBits
		.match(/.{32}/g)!
		.map((word) => Number.parseInt(word, 2));
	return {words: Uint32Array.from(words), length};
}

/** Finds the longest matching prefix by trying every length. */
class ReferenceTable {
	readonly #sites = new Map<Bits, number>();

	get size(): number {
		return this.#sites.size;
	}

	set(prefix: Bits, site: number): void {
		this.#sites.set(prefix, site);
	}

	remove(prefix: Bits): boolean {
		return this.#sites.delete(prefix);
	}

	findSite(address: Bits): number | undefined {
		for (let {length} = address; length >= 0; length--) {
			const site = this.#sites.get(address.slice(0, length));
			if (site !== undefined) {
				return site;
			}
		}

		return undefined;
	}
}

function createChangesArbitrary(addressBits: number) {
	return fc.array(
		fc.record({
			bits: createBitsArbitrary(addressBits),
			length: fc.nat(addressBits),
			site: fc.option(fc.nat(65_535), {nil: undefined}),
		}),
		{maxLength: 300, size: 'max'},
	);
}

describe('client block table', () => {
	for (const addressBits of [ipv4AddressBits, ipv6AddressBits]) {
		it(`agrees with a reference implementation while it grows, at ${addressBits} bits`, () => {
			const addresses = fc.array(createBitsArbitrary(addressBits), {
				minLength: 20,
			});
			const property = fc.property(
				createChangesArbitrary(addressBits),
				addresses,
				(changes, lookups) => {
					const table = createClientBlockTable();
					const reference = new ReferenceTable();
					for (const change of changes) {
						const block = toBlock(change.bits, change.length);
						const prefix = change.bits.slice(0, change.length);
						if (change.site === undefined) {
							expect(table.remove(block)).toEqual(reference.remove(prefix));
						} else {
							table.set(block, change.site);
							reference.set(prefix, change.site);
						}

						const address = toBlock(change.bits, addressBits).words;
						expect(table.findByWords(address)).toEqual(
							reference.findSite(change.bits),
						);
					}

					expect(table.size).toEqual(reference.size);
					for (const lookup of lookups) {
						const address = toBlock(lookup, addressBits).words;
						expect(table.findByWords(address)).toEqual(
							reference.findSite(lookup),
						);
					}
				},
			);
			fc.assert(property, {seed, numRuns: 150});
		});
	}

	it('parses addresses and blocks, including IPv4-mapped IPv6 addresses', () => {
		const table = createClientBlockTable();
		table.set('0.0.0.0/0', 1);
		table.set('192.0.2.0/24', 2);
		table.set('2001:db8::/32', 3);
		expect(table.findByText('198.51.100.1')).toEqual(1);
		expect(table.findByText('192.0.2.9')).toEqual(2);
		expect(table.findByText('::ffff:192.0.2.9')).toEqual(2);
		expect(table.findByText('2001:db8:1::1')).toEqual(3);
		expect(table.findByText('2001:db9::1')).toEqual(undefined);
		expect(table.findByText('nonsense')).toEqual(undefined);
	});

	it('rejects invalid blocks and site numbers', () => {
		for (const text of ['192.0.2.1/24', '192.0.2.0/33', '192.0.2.0', '']) {
			expect(parseBlock(text).isErr).toEqual(true);
		}

		const table = createClientBlockTable();
		expect(() => {
			table.set('192.0.2.0/24', 65_536);
		}).toThrow('The site number must be an integer from 0 to 65535.');
	});
});
