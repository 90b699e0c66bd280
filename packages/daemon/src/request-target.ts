import {Result} from 'true-myth';
import {ErrorKind} from '@parsleyvale/shared';

/** Request target in origin form, as forwarded to backend servers. */
export type RequestTarget = {
	readonly path: string;
	/** Path and query as sent by the caller. */
	readonly pathAndQuery: string;
	/** Percent-decoded path and query, to be searched for keys. */
	readonly decoded: string;
};

const maximumTargetLength = 8192;

/** Paths that other servers may interpret differently; they are refused. */
const ambiguousPath = /\\|\/\/|\/\.{1,2}(?:\/|$)|%2f|%5c|%00|%2e/i;
const allowedCharacters = /^[\u0021-\u007E]+$/;

/**
 * Parses and validates the target of a request.
 * Errors: malformed-request, request-too-large.
 */
export function parseTarget(target: string): Result<RequestTarget, ErrorKind> {
	if (target.length > maximumTargetLength) {
		return Result.err(ErrorKind.RequestTooLarge);
	}

	const pathAndQuery = toOriginForm(target);
	const [path = ''] = pathAndQuery.split('?', 1);
	const decoded = decodePercent(pathAndQuery);
	const isValid =
		path.startsWith('/') &&
		allowedCharacters.test(pathAndQuery) &&
		!pathAndQuery.includes('#') &&
		!ambiguousPath.test(path);
	return isValid && decoded !== undefined
		? Result.ok({path, pathAndQuery, decoded})
		: Result.err(ErrorKind.MalformedRequest);
}

function toOriginForm(target: string): string {
	const originMatch = /^https?:\/\/[^/?#]*/i.exec(target);
	if (originMatch === null) {
		return target;
	}

	const remainder = target.slice(originMatch[0].length);
	return remainder.startsWith('/') ? remainder : `/${remainder}`;
}

function decodePercent(text: string): string | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
}
