import {createHash} from 'node:crypto';

/** Format of generated keys; the prefix makes them detectable in any text. */
const keyPattern = /pv_[\w-]{43}/;

/** SHA-256 of a key in hexadecimal. */
export function toKeyHash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Whether the text contains this key or anything in the format of a key. */
export function containsKey(text: string, key: string | undefined): boolean {
	return keyPattern.test(text) || (key !== undefined && text.includes(key));
}
