import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import type {Configuration, Key} from '@parsleyvale/shared';

/** Hexadecimal digits that select a bucket; they reveal nothing of the rest. */
const bucketPrefixLength = 4;

type Entry = {readonly hashBytes: Buffer; readonly key: Key};

/**
 * Finds a key by its hash. Full hashes are compared in constant time. A timing
 * attack can reveal at most the bucket prefix, which does not help to guess a
 * key.
 *
 * @internal
 */
export class KeyTable {
	readonly #buckets = new Map<string, Entry[]>();

	constructor(configuration: Configuration) {
		for (const key of configuration.keys) {
			const prefix = key.hash.slice(0, bucketPrefixLength);
			const bucket = this.#buckets.get(prefix) ?? [];
			bucket.push({hashBytes: Buffer.from(key.hash), key});
			this.#buckets.set(prefix, bucket);
		}
	}

	findKey(hash: string): Key | undefined {
		const hashBytes = Buffer.from(hash);
		const bucket = this.#buckets.get(hash.slice(0, bucketPrefixLength)) ?? [];
		return bucket.find(
			(entry) =>
				entry.hashBytes.length === hashBytes.length &&
				timingSafeEqual(entry.hashBytes, hashBytes),
		)?.key;
	}
}
