import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

const start = 'host';
const separator = '~';

/** Which process remembers a key, and since when the key exists. */
export type KeyOwner = {
	readonly incarnation: string;
	/** On the clock of that process. */
	readonly issuedAt: Milliseconds;
};

/**
 * How a caller begins an Idempotency-Key that an entry host remembers itself.
 * Such a key works while the store is down, and only while that host lives.
 *
 * @example
 * const key = `${toKeyPrefix(host, clock.now())}${crypto.randomUUID()}`;
 */
export function toKeyPrefix(
	host: Pick<EntryHost, 'incarnation'>,
	now: Milliseconds,
): string {
	const issuedAt = String(Math.floor(now));
	return [start, host.incarnation, issuedAt, ''].join(separator);
}

/** The owner that a key names; undefined: the store remembers the key. */
export function findKeyOwner(idempotencyKey: string): KeyOwner | undefined {
	const [first, incarnation, issuedAt, rest] = idempotencyKey.split(
		separator,
		4,
	);
	const isOwned =
		first === start &&
		incarnation !== undefined &&
		/^\d{1,15}$/.test(issuedAt ?? '') &&
		rest !== undefined;
	return isOwned ? {incarnation, issuedAt: Number(issuedAt)} : undefined;
}
