import {createHash, randomBytes} from 'node:crypto';

const keyLengthBytes = 32;

/** A new API key: the text for the caller and the hash for the configuration. */
export type KeySecret = {
	readonly text: string;
	readonly hash: string;
};

export function createKeySecret(): KeySecret {
	const text = randomBytes(keyLengthBytes).toString('base64url');
	return {text, hash: createHash('sha256').update(text).digest('hex')};
}
