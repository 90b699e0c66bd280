import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';
import type {CallerRequest} from './caller-request.js';

/** Hexadecimal digits of a fingerprint. */
const fingerprintLength = 16;
/** Bytes of a body that are hashed; beyond them, only its length counts. */
const maximumBodyBytes = 64 * 1024;

/**
 * Computes a hash that is the same when a request is sent again: of its method, host
 * name, target, the length of its body and the beginning of it. `bodyLength` is
 * undefined if a long body has no announced length.
 *
 * @example
 * computeFingerprint(callerRequest, body.length, body.parts); // '3f9a6c0d8e1b2745'
 */
export function computeFingerprint(
	{method, hostName, target}: CallerRequest,
	bodyLength: number | undefined,
	bodyParts: readonly Buffer[],
): string {
	const hash = createHash('sha1').update(
		JSON.stringify([method, hostName, target, bodyLength ?? null]),
	);
	let remainingBytes = maximumBodyBytes;
	for (const part of bodyParts) {
		if (remainingBytes <= 0) {
			break;
		}

		hash.update(part.subarray(0, remainingBytes));
		remainingBytes -= part.length;
	}

	return hash.digest('hex').slice(0, fingerprintLength);
}
