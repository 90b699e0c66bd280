import createMurmurHash from 'imurmurhash';

/** A 32-bit hash that is the same on all hosts; another one for each seed. */
export function computeHash(text: string, seed = 0): number {
	return createMurmurHash(text, seed).result();
}
