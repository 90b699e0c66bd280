import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {hopByHopHeaders, type Milliseconds} from '@parsleyvale/shared';
import type {WireNames} from './wire-names.js';

/** What the header of a caller's request says. */
export type CallerRequest = {
	/** The caller's own id; undefined when none came. */
	readonly requestId: string | undefined;
	readonly method: string;
	/** Path and query, as the caller spelled them. */
	readonly target: string;
	readonly path: string;
	readonly hostName: string;
	/** SHA-256 of the key, in hexadecimal. */
	readonly keyHash: string | undefined;
	readonly affinity: string | undefined;
	readonly timeLeft: Milliseconds | undefined;
	/** Bytes of the body; undefined when it comes in chunks. */
	readonly bodyBytes: number | undefined;
	/** Names and values that go to a backend server, flat. */
	readonly forwarded: readonly string[];
};

const fixedDropped: readonly string[] = [
	...hopByHopHeaders,
	'expect',
	'content-length',
];

/** Reads callers' headers; names are made ready once. */
export class CallerRequestReader {
	readonly #names: WireNames;
	readonly #dropped: ReadonlySet<string>;

	constructor(names: WireNames) {
		this.#names = names;
		this.#dropped = new Set([
			...fixedDropped,
			names.key,
			names.deadline,
			names.customer,
			names.expectedServer,
		]);
	}

	read(request: IncomingMessage): CallerRequest {
		const {headers, method = '', url = '/'} = request;
		const names = this.#names;
		const key = findHeader(headers, names.key);
		const [path = '/'] = url.split('?', 1);
		return {
			requestId: findHeader(headers, names.requestId),
			method,
			target: url,
			path,
			hostName: (headers.host ?? '').replace(/:\d+$/, ''),
			keyHash: key === undefined ? undefined : toKeyHash(key),
			affinity: findHeader(headers, names.affinity),
			timeLeft: parseMilliseconds(findHeader(headers, names.deadline)),
			bodyBytes: toBodyBytes(headers),
			forwarded: this.#toForwarded(request.rawHeaders, headers.connection),
		};
	}

	#toForwarded(
		rawHeaders: readonly string[],
		connection: string | undefined,
	): string[] {
		const listed = new Set(
			(connection ?? '').split(',').map((name) => name.trim().toLowerCase()),
		);
		const forwarded: string[] = [];
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			const name = rawHeaders[index]!;
			const lower = name.toLowerCase();
			if (!this.#dropped.has(lower) && !listed.has(lower)) {
				forwarded.push(name, rawHeaders[index + 1]!);
			}
		}

		return forwarded;
	}
}

/**
 * The form in which keys are kept and compared.
 *
 * @example
 * toKeyHash('a key').length; // 64
 */
export function toKeyHash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

function findHeader(
	headers: IncomingHttpHeaders,
	name: string,
): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function parseMilliseconds(text: string | undefined): Milliseconds | undefined {
	return text !== undefined && /^\d{1,9}$/.test(text)
		? Number(text)
		: undefined;
}

function toBodyBytes(headers: IncomingHttpHeaders): number | undefined {
	return headers['transfer-encoding'] === undefined
		? Number(headers['content-length'] ?? 0)
		: undefined;
}
