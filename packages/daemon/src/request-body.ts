import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

/** Bodies up to this size are read before the request reaches the kernel. */
const maximumBufferedBytes = 65_536;

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
	readonly #request: IncomingMessage;
	readonly #length: number | undefined;
	#isConsumed = false;

	constructor(request: IncomingMessage, length: number | undefined) {
		super();
		this.#request = request;
		this.#length = length;
	}

	get isRepeatable(): boolean {
		return !this.#isConsumed;
	}

	get fingerprint(): string {
		return `length ${this.#length ?? 'unknown'}`;
	}

	createSource(): Readable {
		return createBodyStream(this.#request, () => {
			this.#isConsumed = true;
		});
	}
}

/**
 * Creates a stream of the request's body that reads nothing before its consumer
 * does. Destroying it keeps the caller's connection open.
 */
function createBodyStream(
	request: IncomingMessage,
	onFirstRead: () => void,
): Readable {
	let isAttached = false;
	const stream = new Readable({
		read() {
			if (isAttached) {
				request.resume();
				return;
			}

			isAttached = true;
			onFirstRead();
			request.on('data', onData);
			request.once('end', onEnd);
			request.once('close', onClose);
		},
		destroy(error, callback) {
			request.off('data', onData);
			request.off('end', onEnd);
			request.off('close', onClose);
			callback(error);
		},
	});

	function onData(chunk: Buffer): void {
		if (!stream.push(chunk)) {
			request.pause();
		}
	}

	function onEnd(): void {
		stream.push(null);
	}

	function onClose(): void {
		if (!request.complete) {
			stream.destroy(
				new Error(
					'The caller disconnected before the end of the request body.',
				),
			);
		}
	}

	return stream;
}

/**
 * Buffers a short body. A body that is long, of unknown length, or sent only
 * after `100 Continue` is streamed.
 */
export async function readRequestBody(
	request: IncomingMessage,
	length: number | undefined,
	isAwaitingContinue: boolean,
): Promise<RequestBody> {
	if (
		length === undefined ||
		length > maximumBufferedBytes ||
		isAwaitingContinue
	) {
		return new StreamedBody(request, length);
	}

	if (length === 0) {
		return new BufferedBody(Buffer.alloc(0));
	}

	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return new BufferedBody(Buffer.concat(chunks));
}
