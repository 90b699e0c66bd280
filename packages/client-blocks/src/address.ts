/* eslint no-bitwise: "off" -- addresses are bits */
import ipaddr from 'ipaddr.js';
import {Result} from 'true-myth';

const wordBits = 32;
const bytesPerWord = 4;

/** An address as big-endian 32-bit words: 1 for IPv4, 4 for IPv6. */
export type AddressWords = Uint32Array;

/** A CIDR block: the addresses that share the first `length` bits. */
export type Block = {readonly words: AddressWords; readonly length: number};

function toWords(bytes: readonly number[]): AddressWords {
	const words = new Uint32Array(bytes.length / bytesPerWord);
	for (const [index, byte] of bytes.entries()) {
		const word = Math.floor(index / bytesPerWord);
		words[word] = words[word]! * 256 + byte;
	}

	return words;
}

/**
 * Parses an address; IPv4-mapped IPv6 addresses become IPv4 addresses.
 *
 * @example
 * parseAddress('192.0.2.1'); // Uint32Array [0xc0000201]
 */
export function parseAddress(text: string): AddressWords | undefined {
	return ipaddr.isValid(text)
		? toWords(ipaddr.process(text).toByteArray())
		: undefined;
}

/**
 * Returns the mask of one word of a block with the given prefix length.
 *
 * @internal
 */
export function toWordMask(length: number, word: number): number {
	const bits = Math.min(wordBits, Math.max(0, length - word * wordBits));
	return bits === 0 ? 0 : (0xff_ff_ff_ff << (wordBits - bits)) >>> 0;
}

/**
 * Parses a block in CIDR notation; bits after the prefix must be zero.
 *
 * @example
 * parseBlock('192.0.2.0/24').unwrapOr(undefined)?.length; // 24
 */
export function parseBlock(text: string): Result<Block, string> {
	if (!ipaddr.isValidCIDR(text)) {
		return Result.err(`"${text}" is not a CIDR block such as 192.0.2.0/24.`);
	}

	const [address, length] = ipaddr.parseCIDR(text);
	const words = toWords(address.toByteArray());
	const hasOnlyPrefixBits = words.every(
		(word, index) => (word & toWordMask(length, index)) >>> 0 === word,
	);
	return hasOnlyPrefixBits
		? Result.ok({words, length})
		: Result.err(`"${text}" has bits set after the first ${length}.`);
}
