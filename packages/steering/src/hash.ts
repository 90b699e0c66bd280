import MurmurHash3 from 'imurmurhash';

/** A 32-bit hash that is the same on all hosts. */
export function computeHash(text: string): number {
	return MurmurHash3(text).result();
}
