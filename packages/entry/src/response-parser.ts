import {Buffer} from 'node:buffer';
import {hasStatusLine} from '@parsleyvale/shared';
import {HTTPParser} from 'http-parser-js';

/** Status and headers of a backend server's response. */
export type ResponseHead = {
	readonly status: number;
	/** Alternating names and values, as received. */
	readonly rawHeaders: readonly string[];
	/** Whether the connection may be reused. */
	readonly shouldKeepAlive: boolean;
};

export abstract class ResponseListener {
	/** Returns whether the response has no body (HEAD). */
	abstract onHead(head: ResponseHead): boolean;
	abstract onBody(chunk: Buffer): void;
	/** `hasMoreBytes`: whether bytes were received that do not belong to the response. */
	abstract onEnd(hasMoreBytes: boolean): void;
}

/** Bytes above ASCII are valid in values of headers; "ascii" would change them. */
HTTPParser.encoding = 'latin1';

/** A header line, or the continuation of the one before it. */
const headerLinePattern =
	/^(?:[!#$%&'*+.^`|~\w-]+:|[ \t])[\t\u0020-\u007E\u0080-\u00FF]*$/;
const firstStatus = 100;
const firstFinalStatus = 200;
/** Return value that makes the parser skip the body; 0: parse it. */
const skipBody = 1;
/**
 * Limit on the bytes received in a row that are neither a final head nor body:
 * interim responses, chunk sizes and extensions, trailers.
 */
const maximumFramingBytes = 128 * 1024;

/**
 * Parses the bytes of one connection into responses. It accepts any number of
 * responses; the listener matches them to requests.
 */
export class ResponseParser {
	readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
	readonly #listener: ResponseListener;
	#isInterim = false;
	#isInvalid = false;
	#framingBytes = 0;
	/** Parts of the body in the bytes that are being parsed. */
	#bodyParts: Buffer[] = [];

	constructor(listener: ResponseListener) {
		this.#listener = listener;
		this.#parser.parseHeader = (line, headers) => {
			this.#parseHeaderLine(line, headers);
		};

		this.#parser.onHeadersComplete = (info) => this.#onHead(info);
		this.#parser.onBody = (chunk, offset, length) => {
			this.#onBody(chunk, offset, length);
		};

		this.#parser.onMessageComplete = () => {
			this.#onMessageComplete();
		};
	}

	/** Parses received bytes; returns false if they are not valid HTTP. */
	parse(bytes: Buffer): boolean {
		this.#framingBytes += bytes.length;
		const hasFailed = this.#parser.execute(bytes) instanceof Error;
		this.#flushBody();
		return (
			!hasFailed &&
			!this.#isInvalid &&
			this.#framingBytes <= maximumFramingBytes
		);
	}

	/** Handles an orderly end of the connection; returns false if it truncated a response. */
	finish(): boolean {
		return !(this.#parser.finish() instanceof Error) && !this.#isInvalid;
	}

	/** The parser itself ignores lines that are no header. */
	#parseHeaderLine(line: string, headers: string[]): void {
		this.#isInvalid ||= !headerLinePattern.test(line) || hasStatusLine(line);
		HTTPParser.prototype.parseHeader.call(this.#parser, line, headers);
	}

	#onHead(info: {
		statusCode: number;
		statusMessage: string;
		headers: string[];
		shouldKeepAlive: boolean;
	}): number {
		const {statusCode} = info;
		this.#isInvalid ||=
			statusCode < firstStatus || hasStatusLine(info.statusMessage);
		if (statusCode >= firstStatus && statusCode < firstFinalStatus) {
			// An interim response has no body, whatever its headers say.
			this.#isInterim = true;
			return skipBody;
		}

		this.#framingBytes = 0;
		if (this.#isInvalid || !hasValidLength(info.headers)) {
			this.#isInvalid = true;
			return skipBody;
		}

		const hasNoBody = this.#listener.onHead({
			status: statusCode,
			rawHeaders: [...info.headers],
			shouldKeepAlive: info.shouldKeepAlive,
		});
		return hasNoBody ? skipBody : 0;
	}

	#onBody(chunk: Buffer, offset: number, length: number): void {
		if (length < 0) {
			// The parser accepts a negative chunk size.
			this.#isInvalid = true;
		} else if (!this.#isInvalid) {
			this.#framingBytes = 0;
			this.#bodyParts.push(chunk.subarray(offset, offset + length));
		}
	}

	/** Hands over the parts as one, as small chunks would take much memory each on their way to the caller. */
	#flushBody(): void {
		const [first, ...rest] = this.#bodyParts;
		this.#bodyParts = [];
		if (first !== undefined && !this.#isInvalid) {
			this.#listener.onBody(
				rest.length === 0 ? first : Buffer.concat([first, ...rest]),
			);
		}
	}

	#onMessageComplete(): void {
		// The parser takes a chunk size that is not a number for the last chunk.
		const remainingBytes: unknown = Reflect.get(this.#parser, 'body_bytes');
		this.#isInvalid ||= Number.isNaN(remainingBytes);
		if (!this.#isInterim && !this.#isInvalid) {
			this.#flushBody();
			this.#listener.onEnd(this.#hasUnparsedBytes());
		}

		this.#isInterim = false;
	}

	#hasUnparsedBytes(): boolean {
		const offset = Reflect.get(this.#parser, 'offset') as number;
		return offset < (Reflect.get(this.#parser, 'end') as number);
	}
}

/** Whether the headers define the length of the body unambiguously. */
function hasValidLength(rawHeaders: readonly string[]): boolean {
	const lengths: string[] = [];
	const encodings: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		const value = rawHeaders[index + 1]!;
		if (name === 'content-length') {
			lengths.push(value);
		} else if (name === 'transfer-encoding') {
			encodings.push(value.toLowerCase());
		}
	}

	return encodings.length === 0
		? lengths.every((length) => /^\d{1,15}$/.test(length))
		: lengths.length === 0 &&
				encodings.length === 1 &&
				encodings[0] === 'chunked';
}
