import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

/** Bodies up to this many bytes are read before the request is admitted. */
const maximumBufferedBytes = 65_536;

/** The body of a caller's request, as attempts send it. */
export abstract class RequestBody {
	/** Whether another attempt can send the same body. */
	abstract get isRepeatable(): boolean;

	/** Part of the request's fingerprint. */
	abstract get fingerprint(): string;

	/** The body for one attempt; null when there is none. */
	abstract open(): Buffer | Readable | null;
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

	open(): Buffer | null {
		return this.#bytes.length === 0 ? null : this.#bytes;
	}
}

class StreamedBody extends RequestBody {
	readonly #request: IncomingMessage;
	readonly #length: number | undefined;
	#isRead = false;

	constructor(request: IncomingMessage, length: number | undefined) {
		super();
		this.#request = request;
		this.#length = length;
	}

	get isRepeatable(): boolean {
		return !this.#isRead;
	}

	get fingerprint(): string {
		return `length ${this.#length ?? 'unknown'}`;
	}

	open(): Readable {
		return createBodyStream(this.#request, () => {
			this.#isRead = true;
		});
	}
}

/**
 * A view of the request's body that reads nothing before it is asked to and
 * whose destruction leaves the caller's connection whole.
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
			stream.destroy(new Error('The caller cut the body of its request.'));
		}
	}

	return stream;
}

/**
 * Reads a short body whole; a long one, one of unknown length or one that the
 * caller holds back until it is told to continue is left to stream.
 */
export async function readRequestBody(
	request: IncomingMessage,
	length: number | undefined,
	isHeldBack: boolean,
): Promise<RequestBody> {
	if (length === undefined || length > maximumBufferedBytes || isHeldBack) {
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
