import {Result} from 'true-myth';
import {ErrorKind} from '@parsleyvale/shared';

/** The target of a request, in the form that goes to backend servers. */
export type RequestTarget = {
	readonly path: string;
	/** Path and query, as the caller spelled them. */
	readonly pathAndQuery: string;
	/** The same, percent-decoded, for scans. */
	readonly decoded: string;
};

const maximumTargetLength = 8192;

/** Two parties may read these paths differently, so that none passes. */
const ambiguousPath = /\\|\/\/|\/\.{1,2}(?:\/|$)|%2f|%5c|%00|%2e/i;
const allowedCharacters = /^[\u0021-\u007E]+$/;

/** Errors: malformed-request, request-too-large. */
export function parseTarget(target: string): Result<RequestTarget, ErrorKind> {
	if (target.length > maximumTargetLength) {
		return Result.err(ErrorKind.RequestTooLarge);
	}

	const pathAndQuery = toOriginForm(target);
	const [path = ''] = pathAndQuery.split('?', 1);
	const decoded = decodePercent(pathAndQuery);
	const isPlain =
		path.startsWith('/') &&
		allowedCharacters.test(pathAndQuery) &&
		!pathAndQuery.includes('#') &&
		!ambiguousPath.test(path);
	return isPlain && decoded !== undefined
		? Result.ok({path, pathAndQuery, decoded})
		: Result.err(ErrorKind.MalformedRequest);
}

function toOriginForm(target: string): string {
	const absolute = /^https?:\/\/[^/?#]*/i.exec(target);
	if (absolute === null) {
		return target;
	}

	const rest = target.slice(absolute[0].length);
	return rest.startsWith('/') ? rest : `/${rest}`;
}

function decodePercent(text: string): string | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
}
