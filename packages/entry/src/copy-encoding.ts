import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';

/** `accept-encoding` and `content-encoding` of compressed copies. */
export const copyEncoding = 'gzip';
/** A copy that fits into one packet is sent as it is. */
const minimumCompressedBytes = 1200;
/** Fastest level: a list of servers shrinks to a tenth at any level. */
const compressionLevel = 1;
/** A copy of the largest fleet takes a few megabytes; more is an error of the sender. */
const maximumCopyBytes = 32 * 1024 * 1024;

/** A copy as it is sent to another host. */
export type EncodedCopy = {
	readonly bytes: Buffer;
	/** Undefined: not compressed. */
	readonly encoding: typeof copyEncoding | undefined;
};

/**
 * Encodes a copy of the store's data for another host. Each host gets a copy of each
 * change over links that cost, so long copies are compressed if the host accepts it.
 *
 * @example
 * encodeCopy(JSON.stringify(delta), request.headers['accept-encoding']);
 */
export function encodeCopy(
	text: string,
	acceptedEncodings: string | undefined,
): EncodedCopy {
	const isAccepted = (acceptedEncodings ?? '')
		.split(',')
		.some((encoding) => encoding.trim() === copyEncoding);
	return isAccepted && text.length >= minimumCompressedBytes
		? {
				bytes: gzipSync(text, {level: compressionLevel}),
				encoding: copyEncoding,
			}
		: {bytes: Buffer.from(text), encoding: undefined};
}

/** Returns the text of a received copy; throws if it is too long or not in the named encoding. */
export function parseCopyText(
	bytes: Buffer,
	encoding: string | undefined,
): string {
	const text =
		encoding === copyEncoding
			? gunzipSync(bytes, {maxOutputLength: maximumCopyBytes})
			: bytes;
	return text.toString('utf8');
}
