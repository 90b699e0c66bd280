import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Bodies up to this size are buffered, so that a rejected request can be retried at another server. */
const maximumBufferedBytes = 1024 * 1024;

/** How reading a body ended. */
export type BodyReadResult =
	/** The complete body is buffered. */
	| 'whole'
	/** The body exceeds the buffer; the rest is still to be read. */
	| 'long'
	/** The body exceeds the configured limit. */
	| 'too-large'
	/** The caller closed its connection. */
	| 'cut';

/** The body of a caller's request, buffered up to a limit. */
export class RequestBody {
	readonly #request: IncomingMessage;
	#chunks: Buffer[] = [];
	#length = 0;
	#isRestRead = false;

	constructor(request: IncomingMessage) {
		this.#request = request;
	}

	get length(): number {
		return this.#length;
	}

	/** The part of the body that is buffered. */
	get buffered(): Buffer {
		return Buffer.concat(this.#chunks);
	}

	/** Reads until the body is complete or exceeds the buffer or `maximumBytes`. */
	async read(maximumBytes: number): Promise<BodyReadResult> {
		const request = this.#request;
		return new Promise((resolve) => {
			const finish = (result: BodyReadResult) => {
				request.off('data', onData);
				request.off('end', onEnd);
				request.off('close', onClose);
				resolve(result);
			};

			const onData = (chunk: Buffer) => {
				this.#chunks.push(chunk);
				this.#length += chunk.length;
				if (this.#length > maximumBytes) {
					finish('too-large');
				} else if (this.#length > maximumBufferedBytes) {
					request.pause();
					finish('long');
				}
			};

			const onEnd = () => {
				finish('whole');
			};

			const onClose = () => {
				finish('cut');
			};

			request.on('data', onData);
			request.once('end', onEnd);
			request.once('close', onClose);
		});
	}

	/** Discards the buffer and yields the rest of a long body. */
	async *readRest(): AsyncGenerator<Buffer> {
		this.#chunks = [];
		this.#isRestRead = true;
		for await (const chunk of this.#request) {
			yield chunk as Buffer;
		}
	}

	/**
	 * Reads and drops the rest of a long body that nothing else reads, so that the next
	 * request on its connection can be read. Closes the connection if the body exceeds
	 * `maximumBytes`.
	 */
	discardRest(maximumBytes: number): void {
		if (this.#isRestRead) {
			return;
		}

		this.#isRestRead = true;
		this.#chunks = [];
		this.#request.on('data', (chunk: Buffer) => {
			this.#length += chunk.length;
			if (this.#length > maximumBytes) {
				this.#request.destroy();
			}
		});
		this.#request.resume();
	}
}
