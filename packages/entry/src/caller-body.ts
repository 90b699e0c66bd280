import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Bodies up to this size are kept, so that a rejected request can go to another server. */
const maximumKeptBytes = 1024 * 1024;

/** What becomes of a body while it is read. */
export type BodyReading =
	/** All of it is here. */
	| 'whole'
	/** It is longer than what is kept; the rest is still to come. */
	| 'long'
	/** The caller may send no more than its limit. */
	| 'too-large'
	/** The caller went away. */
	| 'cut';

/** The body of a caller's request. */
export class CallerBody {
	readonly #request: IncomingMessage;
	#chunks: Buffer[] = [];
	#length = 0;

	constructor(request: IncomingMessage) {
		this.#request = request;
	}

	get length(): number {
		return this.#length;
	}

	/** What has been kept. */
	get kept(): Buffer {
		return Buffer.concat(this.#chunks);
	}

	/** Reads until the body is whole or too long to be kept. */
	async read(maximumBytes: number): Promise<BodyReading> {
		const request = this.#request;
		return new Promise((resolve) => {
			const finish = (reading: BodyReading) => {
				request.off('data', onData);
				request.off('end', onEnd);
				request.off('close', onClose);
				resolve(reading);
			};

			const onData = (chunk: Buffer) => {
				this.#chunks.push(chunk);
				this.#length += chunk.length;
				if (this.#length > maximumBytes) {
					finish('too-large');
				} else if (this.#length > maximumKeptBytes) {
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

	/** Passes on the rest of a long body. */
	async *readRest(): AsyncGenerator<Buffer> {
		this.#chunks = [];
		for await (const chunk of this.#request) {
			yield chunk as Buffer;
		}
	}
}
