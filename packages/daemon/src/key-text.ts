import {createHash} from 'node:crypto';

/** Keys made by the operators' tool begin so, which lets them be found. */
const keyPattern = /pv_[\w-]{43}/;

/** SHA-256 of a key's text in hexadecimal. */
export function toKeyHash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Whether a text holds this key, or anything that looks like a key. */
export function hasKeyText(text: string, key: string | undefined): boolean {
	return keyPattern.test(text) || (key !== undefined && text.includes(key));
}
