import type {EntryHost} from '@parsleyvale/shared';

const prefix = 'host';
const separator = '~';

/**
 * How a caller begins an Idempotency-Key that an entry host remembers itself.
 * Such a key works while the store is down, and only while that host lives.
 *
 * @example
 * const key = `${toKeyPrefix(host)}${crypto.randomUUID()}`;
 */
export function toKeyPrefix(host: Pick<EntryHost, 'incarnation'>): string {
	return `${prefix}${separator}${host.incarnation}${separator}`;
}

/** Incarnation of the host that remembers the key; undefined: the store does. */
export function findKeyOwner(idempotencyKey: string): string | undefined {
	const [start, incarnation, rest] = idempotencyKey.split(separator, 3);
	const isOwned = start === prefix && rest !== undefined;
	return isOwned ? incarnation : undefined;
}
