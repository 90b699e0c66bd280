import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import type {Configuration, Key} from '@parsleyvale/shared';

/** Hexadecimal digits that choose a bucket: they tell nothing of the rest. */
const bucketDigits = 4;

type Entry = {readonly digits: Buffer; readonly key: Key};

/**
 * Finds a key by its hash. A caller who measures times could learn at most the
 * first digits of a hash, from which no key can be made; the whole hash is
 * compared in constant time.
 *
 * @internal
 */
export class KeyTable {
	readonly #buckets = new Map<string, Entry[]>();

	constructor(configuration: Configuration) {
		for (const key of configuration.keys) {
			const prefix = key.hash.slice(0, bucketDigits);
			const bucket = this.#buckets.get(prefix) ?? [];
			bucket.push({digits: Buffer.from(key.hash), key});
			this.#buckets.set(prefix, bucket);
		}
	}

	findKey(hash: string): Key | undefined {
		const digits = Buffer.from(hash);
		const bucket = this.#buckets.get(hash.slice(0, bucketDigits)) ?? [];
		return bucket.find(
			(entry) =>
				entry.digits.length === digits.length &&
				timingSafeEqual(entry.digits, digits),
		)?.key;
	}
}
