import type {Buffer} from 'node:buffer';
import {HTTPParser} from 'http-parser-js';

/** The status line and header of a backend server's answer. */
export type AnswerHead = {
	readonly status: number;
	/** Names and values as they came, flat. */
	readonly rawHeaders: readonly string[];
	/** Whether the connection may be used again. */
	readonly isKept: boolean;
};

export abstract class AnswerListener {
	/** Returns whether the answer has no body (HEAD). */
	abstract onHead(head: AnswerHead): boolean;
	abstract onBody(chunk: Buffer): void;
	abstract onEnd(): void;
}

const firstFinalStatus = 200;
/** What the parser is told to skip a body; 0: read it. */
const skipBody = 1;

/**
 * Cuts the bytes of one connection into answers. Answers follow one another
 * without a limit: whose they are is for the listener to say.
 */
export class AnswerReader {
	readonly #parser = new HTTPParser(HTTPParser.RESPONSE);
	readonly #listener: AnswerListener;
	#isInterim = false;

	constructor(listener: AnswerListener) {
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

	/** Takes bytes; false when they are not HTTP. */
	read(bytes: Buffer): boolean {
		return !(this.#parser.execute(bytes) instanceof Error);
	}

	/** The connection ended in order; false when that cut an answer. */
	end(): boolean {
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
			isKept: info.shouldKeepAlive,
		});
		return hasNoBody ? skipBody : 0;
	}
}
