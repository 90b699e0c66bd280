import createMurmurHash from 'imurmurhash';

/** Computes a 32-bit hash that is the same on all hosts and depends on the seed. */
export function computeHash(text: string, seed = 0): number {
	return createMurmurHash(text, seed).result();
}
