import {createHash, randomBytes} from 'node:crypto';

const keyBytes = 32;

/** A new key: its text for the caller and its hash for the configuration. */
export type KeySecret = {
	readonly text: string;
	readonly hash: string;
};

export function createKeySecret(): KeySecret {
	const text = randomBytes(keyBytes).toString('base64url');
	return {text, hash: createHash('sha256').update(text).digest('hex')};
}
