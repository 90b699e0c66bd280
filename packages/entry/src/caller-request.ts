import {createHash} from 'node:crypto';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {hopByHopHeaders, type Milliseconds} from '@parsleyvale/shared';
import type {HeaderNames} from './header-names.js';

/** Request line and headers of a caller's request. */
export type CallerRequest = {
	/** The id sent by the caller, if any. */
	readonly requestId: string | undefined;
	readonly method: string;
	/** Path and query, as received. */
	readonly target: string;
	readonly path: string;
	readonly hostName: string;
	/** SHA-256 of the key, in hexadecimal; undefined if none was sent. */
	readonly keyHash: string | undefined;
	readonly affinity: string | undefined;
	/** How long the caller will wait; undefined: not stated. */
	readonly timeLeft: Milliseconds | undefined;
	/** Length of the body; undefined with chunked encoding. */
	readonly bodyBytes: number | undefined;
	/** Alternating names and values of the headers to forward to a backend server. */
	readonly forwardedHeaders: readonly string[];
};

const alwaysExcludedHeaders: readonly string[] = [
	...hopByHopHeaders,
	'expect',
	'content-length',
];

/** Extracts a `CallerRequest` from the requests of callers. */
export class CallerRequestReader {
	readonly #headerNames: HeaderNames;
	readonly #excludedHeaders: ReadonlySet<string>;

	constructor(headerNames: HeaderNames) {
		this.#headerNames = headerNames;
		this.#excludedHeaders = new Set([
			...alwaysExcludedHeaders,
			headerNames.key,
			headerNames.deadline,
			headerNames.customer,
			headerNames.expectedServer,
		]);
	}

	read(request: IncomingMessage): CallerRequest {
		const {headers, method = '', url = '/'} = request;
		const headerNames = this.#headerNames;
		const key = findHeader(headers, headerNames.key);
		const [path = '/'] = url.split('?', 1);
		return {
			requestId: findHeader(headers, headerNames.requestId),
			method,
			target: url,
			path,
			hostName: (headers.host ?? '').replace(/:\d+$/, ''),
			keyHash: key === undefined ? undefined : toKeyHash(key),
			affinity: findHeader(headers, headerNames.affinity),
			timeLeft: parseMilliseconds(findHeader(headers, headerNames.deadline)),
			bodyBytes: parseBodyBytes(headers),
			forwardedHeaders: this.#selectForwardedHeaders(
				request.rawHeaders,
				headers.connection,
			),
		};
	}

	#selectForwardedHeaders(
		rawHeaders: readonly string[],
		connectionHeader: string | undefined,
	): string[] {
		const connectionOptions = new Set(
			(connectionHeader ?? '')
				.split(',')
				.map((name) => name.trim().toLowerCase()),
		);
		const forwardedHeaders: string[] = [];
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			const name = rawHeaders[index]!;
			const lowerCaseName = name.toLowerCase();
			if (
				!this.#excludedHeaders.has(lowerCaseName) &&
				!connectionOptions.has(lowerCaseName)
			) {
				forwardedHeaders.push(name, rawHeaders[index + 1]!);
			}
		}

		return forwardedHeaders;
	}
}

/**
 * Hashes a key; keys are stored and compared in this form only.
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

function parseBodyBytes(headers: IncomingHttpHeaders): number | undefined {
	return headers['transfer-encoding'] === undefined
		? Number(headers['content-length'] ?? 0)
		: undefined;
}
