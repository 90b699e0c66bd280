import type {Buffer} from 'node:buffer';
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
	abstract onEnd(): void;
}

const firstFinalStatus = 200;
/** Return value that makes the parser skip the body; 0: parse it. */
const skipBody = 1;

/**
 * Parses the bytes of one connection into responses. It accepts any number of
 * responses; the listener matches them to requests.
 */
export class ResponseParser {
	readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
	readonly #listener: ResponseListener;
	#isInterim = false;

	constructor(listener: ResponseListener) {
		this.#listener = listener;
		this.#parser.onHeadersComplete = (info) => this.#onHead(info);
		this.#parser.onBody = (chunk, offset, length) => {
			this.#listener.onBody(chunk.subarray(offset, offset + length));
		};

		this.#parser.onMessageComplete = () => {
			if (!this.#isInterim) {
				this.#listener.onEnd();
			}

			this.#isInterim = false;
		};
	}

	/** Parses received bytes; returns false if they are not valid HTTP. */
	parse(bytes: Buffer): boolean {
		return !(this.#parser.execute(bytes) instanceof Error);
	}

	/** Handles an orderly end of the connection; returns false if it truncated a response. */
	finish(): boolean {
		return !(this.#parser.finish() instanceof Error);
	}

	#onHead(info: {
		statusCode: number;
		headers: string[];
		shouldKeepAlive: boolean;
	}): number {
		if (info.statusCode < firstFinalStatus) {
			this.#isInterim = true;
			return 0;
		}

		const hasNoBody = this.#listener.onHead({
			status: info.statusCode,
			rawHeaders: [...info.headers],
			shouldKeepAlive: info.shouldKeepAlive,
		});
		return hasNoBody ? skipBody : 0;
	}
}
