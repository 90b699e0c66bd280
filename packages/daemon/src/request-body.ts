import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {Readable} from 'node:stream';
import {maximumBufferedBytes, type IncomingBody} from './incoming-body.js';

/** Body of a caller's request, sent by one or more attempts. */
export abstract class RequestBody {
	/** Whether another attempt can send the body from its start. */
	abstract get isRepeatable(): boolean;

	/** Contribution of the body to the fingerprint of the request. */
	abstract get fingerprint(): string;

	/** Returns the body for one attempt; null if it is empty. */
	abstract createSource(): Buffer | Readable | null;
}

class BufferedBody extends RequestBody {
	readonly #bytes: Buffer;

	constructor(bytes: Buffer) {
		super();
		this.#bytes = bytes;
	}

	get isRepeatable(): boolean {
		return true;
	}

	get fingerprint(): string {
		return createHash('sha256').update(this.#bytes).digest('hex');
	}

	createSource(): Buffer | null {
		return this.#bytes.length === 0 ? null : this.#bytes;
	}
}

class StreamedBody extends RequestBody {
	readonly #incomingBody: IncomingBody;
	readonly #length: number | undefined;

	constructor(incomingBody: IncomingBody, length: number | undefined) {
		super();
		this.#incomingBody = incomingBody;
		this.#length = length;
	}

	get isRepeatable(): boolean {
		return !this.#incomingBody.isConsumed;
	}

	get fingerprint(): string {
		return `length ${this.#length ?? 'unknown'}`;
	}

	createSource(): Readable {
		return this.#incomingBody.createStream();
	}
}

/**
 * Buffers a short body. A body that is long, of unknown length, or sent only
 * after `100 Continue` is streamed.
 */
export async function readRequestBody(
	incomingBody: IncomingBody,
	length: number | undefined,
	isAwaitingContinue: boolean,
): Promise<RequestBody> {
	if (
		length === undefined ||
		length > maximumBufferedBytes ||
		isAwaitingContinue
	) {
		return new StreamedBody(incomingBody, length);
	}

	return createBufferedBody(
		length === 0 ? Buffer.alloc(0) : await incomingBody.readWhole(),
	);
}

/** Creates the body of a request that has been read completely. */
export function createBufferedBody(bytes: Buffer): RequestBody {
	return new BufferedBody(bytes);
}
