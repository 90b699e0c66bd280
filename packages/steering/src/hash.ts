import createMurmurHash from 'imurmurhash';

/** A 32-bit hash that is the same on all hosts. */
export function computeHash(text: string): number {
	return createMurmurHash(text).result();
}
