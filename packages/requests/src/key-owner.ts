import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

const hostKeyMarker = 'host';
const separator = '~';

/** Process that keeps the claim on a key, and when the key was issued. */
export type KeyOwner = {
	readonly incarnation: string;
	/** By the clock of that process. */
	readonly issuedAt: Milliseconds;
};

/**
 * Prefix of an Idempotency-Key whose claim is kept by an entry host. Such a key
 * works while the store is down, but only as long as that host lives.
 *
 * @example
 * const key = `${toHostKeyPrefix(host, clock.now())}${crypto.randomUUID()}`;
 */
export function toHostKeyPrefix(
	host: Pick<EntryHost, 'incarnation'>,
	now: Milliseconds,
): string {
	const issuedAt = String(Math.floor(now));
	return [hostKeyMarker, host.incarnation, issuedAt, ''].join(separator);
}

/** Owner that a key names; undefined if its claim belongs in the store. */
export function parseKeyOwner(idempotencyKey: string): KeyOwner | undefined {
	const [marker, incarnation, issuedAt, rest] = idempotencyKey.split(
		separator,
		4,
	);
	const isHostKey =
		marker === hostKeyMarker &&
		incarnation !== undefined &&
		/^\d{1,15}$/.test(issuedAt ?? '') &&
		rest !== undefined;
	return isHostKey ? {incarnation, issuedAt: Number(issuedAt)} : undefined;
}
