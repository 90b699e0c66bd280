import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {TurnTaker, type ReadTurns} from './read-turns.js';
import type {RequestScanner} from './request-scanner.js';

/** Bytes of heads processed in one step: a few dozen small requests. */
const stepBytes = 4096;

export type ConnectionReaderOptions = {
	readonly socket: Socket;
	readonly scanner: RequestScanner;
	readonly turns: ReadTurns;
	/** Whether received bytes may be processed now. */
	readonly canProcess: () => boolean;
	/** Called when the last received bytes are about to be processed. */
	readonly onQueueEmptied: () => void;
};

/**
 * Passes the bytes of a connection to the parser of Node.js in bounded steps. One
 * read of 64 KiB may contain a thousand requests, during which no other
 * connection would be served.
 */
export class ConnectionReader extends TurnTaker {
	readonly #options: ConnectionReaderOptions;
	readonly #parserListeners: ReadonlyArray<(bytes: Buffer) => void>;
	#queue: Buffer[] = [];

	/** Must be created when the HTTP server has set up the socket. */
	constructor(options: ConnectionReaderOptions) {
		super();
		this.#options = options;
		const {socket} = options;
		this.#parserListeners = socket.listeners('data') as Array<
			(bytes: Buffer) => void
		>;
		socket.removeAllListeners('data');
		socket.on('data', (bytes) => {
			this.#onData(bytes);
		});
		socket.once('close', () => {
			this.#queue = [];
		});
	}

	get hasQueuedBytes(): boolean {
		return this.#queue.length > 0;
	}

	/** Goes on with queued bytes when it is the connection's turn. */
	continue(): void {
		if (this.hasQueuedBytes) {
			this.#options.turns.add(this);
		}
	}

	override runStep(): boolean {
		if (!this.hasQueuedBytes || !this.#options.canProcess()) {
			return false;
		}

		const bytes = this.#queue.shift()!;
		const size = this.#computeStepSize();
		if (bytes.length > size) {
			this.#queue.unshift(bytes.subarray(size));
		}

		this.#process(bytes.subarray(0, size));
		if (!this.hasQueuedBytes) {
			this.#options.onQueueEmptied();
		}

		return this.hasQueuedBytes;
	}

	#onData(bytes: Buffer): void {
		const isImmediate =
			!this.hasQueuedBytes &&
			this.#options.canProcess() &&
			bytes.length <= this.#computeStepSize();
		if (isImmediate) {
			this.#process(bytes);
			return;
		}

		this.#queue.push(bytes);
		this.#options.socket.pause();
		this.continue();
	}

	/** A body costs little for each byte, so all of it may be processed at once. */
	#computeStepSize(): number {
		return Math.max(stepBytes, this.#options.scanner.expectedBodyBytes);
	}

	#process(bytes: Buffer): void {
		const {socket, scanner} = this.#options;
		scanner.onData(bytes);
		for (const listener of this.#parserListeners) {
			listener.call(socket, bytes);
		}
	}
}
