import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {ByteCollector} from '@parsleyvale/held-bytes';
import type {ClientLimits} from '@parsleyvale/shared';
import type {CallerConnection} from './caller-connection.js';

/** Bodies up to this size are read before the request reaches the kernel. */
export const maximumBufferedBytes = 65_536;

export type IncomingBodyOptions = {
	readonly request: IncomingMessage;
	readonly connection: CallerConnection;
	/** Whether the caller waits for `100 Continue` before it sends the body. */
	readonly isAwaitingContinue: boolean;
	readonly limits: Pick<ClientLimits, 'drainTimeoutMs' | 'drainBytes'>;
	readonly onDrainLimitReached: () => void;
};

/**
 * The body of a request as it arrives. It is collected from the start, since
 * Node.js would keep one object for each chunk, and the connection is not read
 * while the buffer is full.
 */
export class IncomingBody {
	readonly #options: IncomingBodyOptions;
	readonly #collector = new ByteCollector();
	#heldBytes = 0;
	#isComplete = false;
	#isCut = false;
	#isConsumed = false;
	#isDiscarding = false;
	#discardedBytes = 0;
	#drainTimer: NodeJS.Timeout | undefined;
	#isPausing = false;
	#isAwaited = false;
	#onChanged: (() => void) | undefined;

	constructor(options: IncomingBodyOptions) {
		this.#options = options;
		const {request, isAwaitingContinue} = options;
		this.#setAwaited(!isAwaitingContinue);
		request.on('error', () => undefined);
		request.on('data', (chunk: Buffer) => {
			this.#onData(chunk);
		});
		request.once('end', () => {
			this.#isComplete = true;
			this.#onEnded();
		});
		request.once('close', () => {
			this.#isCut = !request.complete;
			this.#onEnded();
		});
	}

	/** Whether a consumer has begun to read the body. */
	get isConsumed(): boolean {
		return this.#isConsumed;
	}

	/** Reads a short body completely. Rejects if the caller disconnects before its end. */
	async readWhole(): Promise<Buffer> {
		await new Promise<void>((resolve, reject) => {
			this.#onChanged = () => {
				if (this.#isComplete) {
					resolve();
				} else if (this.#isCut) {
					reject(createCutError());
				}
			};

			this.#onChanged?.();
		});
		const bytes = this.#collector.toBuffer();
		this.#updateHeldBytes();
		return bytes;
	}

	/** Creates a stream of the body. Destroying it keeps the caller's connection open. */
	createStream(): Readable {
		let isWanted = false;
		const stream = new Readable({
			read: () => {
				this.#isConsumed = true;
				isWanted = true;
				this.#onChanged?.();
			},
		});
		this.#onChanged = () => {
			if (isWanted && !stream.destroyed) {
				isWanted = this.#deliver(stream);
			}
		};

		return stream;
	}

	/** Discards what is held and what still arrives, within the limits on time and bytes. */
	discard(): void {
		if (this.#isDiscarding) {
			return;
		}

		this.#isDiscarding = true;
		this.#collector.clear();
		this.#updateHeldBytes();
		if (!this.#isComplete && !this.#isCut) {
			this.#drainTimer = setTimeout(() => {
				this.#endDrain();
			}, this.#options.limits.drainTimeoutMs);
		}
	}

	/** Returns whether the consumer wants more. */
	#deliver(stream: Readable): boolean {
		let isWanted = true;
		for (const part of this.#collector.take()) {
			isWanted = stream.push(part);
		}

		this.#updateHeldBytes();
		if (this.#isComplete) {
			stream.push(null);
		} else if (this.#isCut) {
			stream.destroy(createCutError());
		}

		return isWanted && !this.#isComplete;
	}

	#onData(chunk: Buffer): void {
		this.#setAwaited(true);
		if (this.#isDiscarding) {
			this.#discardedBytes += chunk.length;
			if (this.#discardedBytes > this.#options.limits.drainBytes) {
				this.#endDrain();
			}

			return;
		}

		this.#collector.add(chunk);
		this.#updateHeldBytes();
		this.#onChanged?.();
	}

	#onEnded(): void {
		clearTimeout(this.#drainTimer);
		this.#setAwaited(false);
		this.#updateHeldBytes();
		this.#onChanged?.();
	}

	#endDrain(): void {
		clearTimeout(this.#drainTimer);
		this.#options.connection.close();
		this.#options.onDrainLimitReached();
	}

	#updateHeldBytes(): void {
		const {connection} = this.#options;
		const {heldBytes, length} = this.#collector;
		const change = heldBytes - this.#heldBytes;
		this.#heldBytes = heldBytes;
		connection.addHeldBytes(change);
		const isOpen = !this.#isComplete && !this.#isCut;
		const isPausing = isOpen && length > maximumBufferedBytes;
		// The next request on the connection may be the one that pauses it.
		if (isPausing !== this.#isPausing) {
			this.#isPausing = isPausing;
			connection.setPausedByBody(isPausing);
		}
	}

	#setAwaited(isAwaited: boolean): void {
		if (isAwaited !== this.#isAwaited) {
			this.#isAwaited = isAwaited;
			this.#options.connection.addAwaitedBodies(isAwaited ? 1 : -1);
		}
	}
}

function createCutError(): Error {
	return new Error(
		'The caller disconnected before the end of the request body.',
	);
}
