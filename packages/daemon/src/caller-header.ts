import {Result} from 'true-myth';
import {
	hopByHopHeaders,
	ErrorKind,
	type Milliseconds,
} from '@parsleyvale/shared';
import {containsKey} from './api-key.js';
import {parseTarget, type RequestTarget} from './request-target.js';

/** Parsed and validated header of a caller's request. */
export type CallerHeader = {
	readonly target: RequestTarget;
	readonly key: string | undefined;
	readonly idempotencyKey: string | undefined;
	/** Time until the caller's deadline; undefined if the caller set none. */
	readonly remainingTime: Milliseconds | undefined;
	readonly bodyBytes: number | undefined;
	/** Fields to forward to the backend server, as alternating names and values. */
	readonly forwardedFields: string[];
};

/** Headers that only this system may set; never forwarded from callers. */
const reservedHeaders = new Set([
	'x-request-id',
	'x-customer',
	'x-deadline-ms',
	'x-not-run',
	'x-load',
	'forwarded',
	'x-forwarded-for',
	'x-real-ip',
]);

/** Hop-by-hop headers and headers that may contain a key; not forwarded. */
const removedHeaders = new Set([
	'authorization',
	'proxy-authorization',
	'x-api-key',
	'expect',
	'host',
	'content-length',
	...hopByHopHeaders,
]);

/** Removing these as hop-by-hop headers would change what the request means. */
const forbiddenConnectionOptions = new Set([
	'authorization',
	'content-length',
	'host',
	'idempotency-key',
	'transfer-encoding',
	'cookie',
	...reservedHeaders,
]);

/** Headers that are ambiguous when repeated. */
const singletonHeaders = new Set([
	'authorization',
	'content-length',
	'host',
	'idempotency-key',
	'transfer-encoding',
	'x-deadline-ms',
]);

const maximumIdempotencyKeyLength = 255;
const maximumRemainingTime: Milliseconds = 86_400_000;

type HeaderFields = {
	readonly names: readonly string[];
	readonly values: readonly string[];
};

/**
 * Parses and validates the target and header of a caller's request.
 * Errors: malformed-request, request-too-large.
 */
export function parseCallerHeader(
	target: string,
	rawHeaders: readonly string[],
): Result<CallerHeader, ErrorKind> {
	const fields = toHeaderFields(rawHeaders);
	if (!isUnambiguous(fields)) {
		return Result.err(ErrorKind.MalformedRequest);
	}

	const authorization = findValue(fields, 'authorization');
	const key = parseBearerKey(authorization);
	const idempotencyKey = findValue(fields, 'idempotency-key');
	const remainingTime = parseRemainingTime(findValue(fields, 'x-deadline-ms'));
	const isWellFormed =
		(authorization === undefined || key !== undefined) &&
		!Number.isNaN(remainingTime) &&
		(idempotencyKey === undefined || isIdempotencyKey(idempotencyKey));
	if (!isWellFormed) {
		return Result.err(ErrorKind.MalformedRequest);
	}

	return parseTarget(target).andThen((parsed) =>
		containsKey(parsed.pathAndQuery + parsed.decoded, key)
			? Result.err(ErrorKind.MalformedRequest)
			: Result.ok({
					target: parsed,
					key,
					idempotencyKey,
					remainingTime,
					bodyBytes: parseBodyBytes(fields),
					forwardedFields: listForwardedFields(fields, key),
				}),
	);
}

function toHeaderFields(rawHeaders: readonly string[]): HeaderFields {
	const names = rawHeaders
		.filter((_, index) => index % 2 === 0)
		.map((name) => name.toLowerCase());
	const values = rawHeaders.filter((_, index) => index % 2 === 1);
	return {names, values};
}

function findValue(fields: HeaderFields, name: string): string | undefined {
	const index = fields.names.indexOf(name);
	return index === -1 ? undefined : fields.values[index];
}

function isUnambiguous(fields: HeaderFields): boolean {
	const isRepeated = [...singletonHeaders].some(
		(name) => fields.names.filter((other) => other === name).length > 1,
	);
	const connectionOptions = listConnectionOptions(fields);
	return (
		!isRepeated &&
		fields.names.includes('host') &&
		// Some servers treat X_Customer and X-Customer as the same header.
		!fields.names.some((name) => name.includes('_')) &&
		!connectionOptions.some((name) => forbiddenConnectionOptions.has(name))
	);
}

function listConnectionOptions(fields: HeaderFields): string[] {
	return fields.names.flatMap((name, index) =>
		name === 'connection'
			? fields.values[index]!.split(',').map((option) =>
					option.trim().toLowerCase(),
				)
			: [],
	);
}

function parseBearerKey(authorization: string | undefined): string | undefined {
	const match = /^bearer +([\w~+/.=-]+)$/i.exec(authorization ?? '');
	return match?.[1];
}

/** Returns NaN if the text is invalid. */
function parseRemainingTime(
	text: string | undefined,
): Milliseconds | undefined {
	if (text === undefined) {
		return undefined;
	}

	const value = /^\d{1,8}$/.test(text) ? Number(text) : Number.NaN;
	return value <= maximumRemainingTime ? value : Number.NaN;
}

function isIdempotencyKey(text: string): boolean {
	return (
		text.length > 0 &&
		text.length <= maximumIdempotencyKeyLength &&
		/^[\u0021-\u007E]+$/.test(text)
	);
}

/** Length of the body, 0 if there is none; undefined if it is sent in chunks. */
function parseBodyBytes(fields: HeaderFields): number | undefined {
	if (fields.names.includes('transfer-encoding')) {
		return undefined;
	}

	return Number(findValue(fields, 'content-length') ?? 0);
}

function listForwardedFields(
	fields: HeaderFields,
	key: string | undefined,
): string[] {
	const connectionOptions = new Set(listConnectionOptions(fields));
	return fields.names.flatMap((name, index) => {
		const value = fields.values[index]!;
		const isForwarded =
			!removedHeaders.has(name) &&
			!reservedHeaders.has(name) &&
			!connectionOptions.has(name) &&
			!containsKey(value, key);
		return isForwarded ? [name, value] : [];
	});
}
