import {Result} from 'true-myth';
import {
	connectionHeaders,
	ErrorKind,
	type Milliseconds,
} from '@parsleyvale/shared';
import {hasKeyText} from './key-text.js';
import {parseTarget, type RequestTarget} from './request-target.js';

/** What the header of a caller's request says, checked. */
export type CallerHeader = {
	readonly target: RequestTarget;
	readonly key: string | undefined;
	readonly idempotencyKey: string | undefined;
	/** Time that the caller leaves for the answer. */
	readonly timeLeft: Milliseconds | undefined;
	readonly bodyBytes: number | undefined;
	/** Names and values that may go to a backend server, flat. */
	readonly forwarded: string[];
};

/** Names that this system sets itself, whatever a caller sends. */
const ownNames = new Set([
	'x-request-id',
	'x-customer',
	'x-deadline-ms',
	'x-not-run',
	'x-load',
	'forwarded',
	'x-forwarded-for',
	'x-real-ip',
]);

/** Names that end at this connection, or carry a key. */
const droppedNames = new Set([
	'authorization',
	'proxy-authorization',
	'x-api-key',
	'expect',
	'host',
	'content-length',
	...connectionHeaders,
]);

/** Naming these in Connection would change what the request means. */
const neverConnectionListed = new Set([
	'authorization',
	'content-length',
	'host',
	'idempotency-key',
	'transfer-encoding',
	'cookie',
	...ownNames,
]);

const singleNames = new Set([
	'authorization',
	'content-length',
	'host',
	'idempotency-key',
	'transfer-encoding',
	'x-deadline-ms',
]);

const maximumIdempotencyKeyLength = 255;
const maximumTimeLeft: Milliseconds = 86_400_000;

type Fields = {
	readonly names: readonly string[];
	readonly values: readonly string[];
};

/** Errors: malformed-request, request-too-large. */
export function parseCallerHeader(
	target: string,
	rawHeaders: readonly string[],
): Result<CallerHeader, ErrorKind> {
	const fields = toFields(rawHeaders);
	if (!isUnambiguous(fields)) {
		return Result.err(ErrorKind.MalformedRequest);
	}

	const authorization = findValue(fields, 'authorization');
	const key = parseKey(authorization);
	const idempotencyKey = findValue(fields, 'idempotency-key');
	const timeLeft = parseTimeLeft(findValue(fields, 'x-deadline-ms'));
	const isWellFormed =
		(authorization === undefined || key !== undefined) &&
		!Number.isNaN(timeLeft) &&
		(idempotencyKey === undefined || isIdempotencyKey(idempotencyKey));
	if (!isWellFormed) {
		return Result.err(ErrorKind.MalformedRequest);
	}

	return parseTarget(target).andThen((parsed) =>
		hasKeyText(parsed.pathAndQuery + parsed.decoded, key)
			? Result.err(ErrorKind.MalformedRequest)
			: Result.ok({
					target: parsed,
					key,
					idempotencyKey,
					timeLeft,
					bodyBytes: toBodyBytes(fields),
					forwarded: toForwarded(fields, key),
				}),
	);
}

function toFields(rawHeaders: readonly string[]): Fields {
	const names = rawHeaders
		.filter((_, index) => index % 2 === 0)
		.map((name) => name.toLowerCase());
	const values = rawHeaders.filter((_, index) => index % 2 === 1);
	return {names, values};
}

function findValue(fields: Fields, name: string): string | undefined {
	const index = fields.names.indexOf(name);
	return index === -1 ? undefined : fields.values[index];
}

function isUnambiguous(fields: Fields): boolean {
	const repeated = [...singleNames].some(
		(name) => fields.names.filter((other) => other === name).length > 1,
	);
	const listed = listConnectionNames(fields);
	return (
		!repeated &&
		fields.names.includes('host') &&
		// Some servers read X_Customer and X-Customer as one name.
		!fields.names.some((name) => name.includes('_')) &&
		!listed.some((name) => neverConnectionListed.has(name))
	);
}

function listConnectionNames(fields: Fields): string[] {
	return fields.names.flatMap((name, index) =>
		name === 'connection'
			? fields.values[index]!.split(',').map((part) =>
					part.trim().toLowerCase(),
				)
			: [],
	);
}

function parseKey(authorization: string | undefined): string | undefined {
	const match = /^bearer +([\w~+/.=-]+)$/i.exec(authorization ?? '');
	return match?.[1];
}

function parseTimeLeft(text: string | undefined): Milliseconds | undefined {
	if (text === undefined) {
		return undefined;
	}

	const value = /^\d{1,8}$/.test(text) ? Number(text) : Number.NaN;
	return value <= maximumTimeLeft ? value : Number.NaN;
}

function isIdempotencyKey(text: string): boolean {
	return (
		text.length > 0 &&
		text.length <= maximumIdempotencyKeyLength &&
		/^[\u0021-\u007E]+$/.test(text)
	);
}

/** Bytes of the body; 0 without a body, undefined when it comes in chunks. */
function toBodyBytes(fields: Fields): number | undefined {
	if (fields.names.includes('transfer-encoding')) {
		return undefined;
	}

	return Number(findValue(fields, 'content-length') ?? 0);
}

function toForwarded(fields: Fields, key: string | undefined): string[] {
	const listed = new Set(listConnectionNames(fields));
	return fields.names.flatMap((name, index) => {
		const value = fields.values[index]!;
		const isKept =
			!droppedNames.has(name) &&
			!ownNames.has(name) &&
			!listed.has(name) &&
			!hasKeyText(value, key);
		return isKept ? [name, value] : [];
	});
}
