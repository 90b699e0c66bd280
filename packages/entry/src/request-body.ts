import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ByteCharge, ByteCollector} from '@parsleyvale/held-bytes';
import type {CallerConnection} from './caller-connection.js';

/** Bodies up to this size are buffered, so that a rejected request can be retried at another server. */
const maximumBufferedBytes = 1024 * 1024;
/**
 * Bytes that are collected ahead of what is needed. As long as these have not
 * arrived, the socket is read, so that the caller's disconnection is noticed.
 */
const readAheadBytes = 64 * 1024;

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

/**
 * The body of a caller's request, buffered up to a limit. Its chunks are collected
 * from the beginning: the queue of Node.js would hold one object for each of them.
 */
export class RequestBody {
	readonly #request: IncomingMessage;
	readonly #connection: CallerConnection | undefined;
	readonly #collector = new ByteCollector();
	readonly #charge: ByteCharge;
	#length = 0;
	/** Collected bytes from which on the socket is not read. */
	#collectLimit = readAheadBytes;
	#maximumBytes = Number.POSITIVE_INFINITY;
	#isDiscarded = false;
	#isEnded = false;
	#isClosed = false;
	#isFinished = false;
	#isPaused = false;
	#notifyChanged: (() => void) | undefined;

	/** Without a connection, the body is not accounted for. */
	constructor(request: IncomingMessage, connection?: CallerConnection) {
		this.#request = request;
		this.#connection = connection;
		this.#charge = new ByteCharge(connection?.entry);
		connection?.onBodyStarted();
		request.on('data', (chunk: Buffer) => {
			this.#onData(chunk);
		});
		request.once('end', () => {
			this.#isEnded = true;
			this.#onFinished();
		});
		request.once('close', () => {
			this.#isClosed = true;
			this.#onFinished();
		});
	}

	/** Number of bytes received so far. */
	get length(): number {
		return this.#length;
	}

	/** The buffers that hold a whole body. */
	get parts(): readonly Buffer[] {
		return this.#collector.parts;
	}

	/** Reads until the body is complete or exceeds the buffer or `maximumBytes`. */
	async read(maximumBytes: number): Promise<BodyReadResult> {
		this.#maximumBytes = maximumBytes;
		this.#collectLimit = maximumBufferedBytes + readAheadBytes;
		this.#updateReading();
		for (;;) {
			const result = this.#findResult();
			if (result !== undefined) {
				return result;
			}

			await this.#waitForChange();
		}
	}

	/** Yields the collected parts and the rest of a long body; fails if it is cut or exceeds the limit. */
	async *readRest(): AsyncGenerator<Buffer> {
		this.#collectLimit = readAheadBytes;
		for (;;) {
			if (this.#isTooLarge || this.#isCut) {
				throw new Error('The body is incomplete or exceeds the limit.');
			}

			const isEnded = this.#isEnded;
			yield* this.#takeParts();
			if (isEnded) {
				return;
			}

			if (!this.#isEnded && this.#collector.length === 0) {
				await this.#waitForChange();
			}
		}
	}

	/**
	 * Drops what is buffered and what still arrives, so that the next request can be
	 * read. Closes the connection if the body exceeds `maximumBytes`.
	 */
	discard(maximumBytes: number): void {
		this.#isDiscarded = true;
		this.#maximumBytes = maximumBytes;
		this.#collector.clear();
		this.#charge.close();
		this.#updateReading();
		this.#notify();
	}

	get #isTooLarge(): boolean {
		return this.#length > this.#maximumBytes;
	}

	get #isCut(): boolean {
		return this.#isDiscarded || (this.#isClosed && !this.#isEnded);
	}

	#findResult(): BodyReadResult | undefined {
		if (this.#isTooLarge) {
			return 'too-large';
		}

		if (this.#isCut) {
			return 'cut';
		}

		if (this.#collector.length > maximumBufferedBytes) {
			return 'long';
		}

		return this.#isEnded ? 'whole' : undefined;
	}

	*#takeParts(): Generator<Buffer> {
		const parts = this.#collector.take();
		for (const part of parts) {
			yield part;
			this.#charge.add(-part.length);
		}

		this.#charge.set(this.#collector.heldBytes);
		this.#updateReading();
	}

	#onData(chunk: Buffer): void {
		this.#length += chunk.length;
		if (this.#isTooLarge) {
			this.#onTooLarge();
		} else if (!this.#isDiscarded) {
			this.#collector.add(chunk);
			this.#charge.set(this.#collector.heldBytes);
			this.#updateReading();
		}

		this.#notify();
	}

	#onTooLarge(): void {
		if (this.#isDiscarded) {
			// The rest of a refused body is read only up to the limit.
			this.#request.destroy();
		}

		this.#collector.clear();
		this.#charge.close();
	}

	#onFinished(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#connection?.onBodyEnded();
		}

		this.#updateReading();
		this.#notify();
	}

	#updateReading(): void {
		const shouldPause =
			!this.#isEnded &&
			!this.#isClosed &&
			this.#collector.length >= this.#collectLimit;
		if (shouldPause === this.#isPaused) {
			return;
		}

		this.#isPaused = shouldPause;
		if (this.#connection === undefined) {
			this.#request[shouldPause ? 'pause' : 'resume']();
		} else {
			this.#connection.setBodyPaused(shouldPause);
		}
	}

	async #waitForChange(): Promise<void> {
		return new Promise((resolve) => {
			this.#notifyChanged = resolve;
		});
	}

	#notify(): void {
		this.#notifyChanged?.();
		this.#notifyChanged = undefined;
	}
}
