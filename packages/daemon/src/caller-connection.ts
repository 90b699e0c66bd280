import type {Socket} from 'node:net';
import {
	BytesHolder,
	type HeldBytes,
	type HeldBytesEntry,
} from '@parsleyvale/held-bytes';
import type {RequestPipelines} from '@parsleyvale/pipelining';
import type {ClientLimits, Clock, Milliseconds} from '@parsleyvale/shared';

const millisecondsPerSecond = 1000;

export type CallerConnectionOptions = {
	readonly socket: Socket;
	readonly pipelines: RequestPipelines;
	readonly heldBytes: HeldBytes;
	readonly clock: Clock;
	readonly limits: Pick<
		ClientLimits,
		'bodyIdleTimeoutMs' | 'minimumBytesPerSecond' | 'unreadTimeoutMs'
	>;
	/** Called when the account closes the connection. */
	readonly onTerminated: () => void;
};

export type ExceededLimit = 'body-progress' | 'response-progress';

/** A caller's connection: the bytes held for it, whether it is read, and its progress. */
export class CallerConnection extends BytesHolder {
	readonly #socket: Socket;
	readonly #pipelines: RequestPipelines;
	readonly #clock: Clock;
	readonly #limits: CallerConnectionOptions['limits'];
	readonly #onTerminated: () => void;
	readonly #entry: HeldBytesEntry;
	/** Changes whenever bytes are received or leave for the caller. */
	#position = 0;
	#lastProgressAt: Milliseconds;
	#isPausedByAccount = false;
	#isPausedByBody = false;
	/** Bodies that the caller has not sent completely. */
	#awaitedBodies = 0;
	#windowStart: Milliseconds;
	#bytesAtWindowStart = 0;

	constructor(options: CallerConnectionOptions) {
		super();
		const {socket, pipelines, heldBytes, clock, limits, onTerminated} = options;
		this.#pipelines = pipelines;
		this.#socket = socket;
		this.#clock = clock;
		this.#limits = limits;
		this.#onTerminated = onTerminated;
		this.#lastProgressAt = clock.now();
		this.#windowStart = this.#lastProgressAt;
		this.#entry = heldBytes.open(this);
		socket.once('close', () => {
			this.#entry.close();
		});
	}

	override get lastProgressAt(): Milliseconds {
		const {bytesRead, bytesWritten, writableLength} = this.#socket;
		const position = bytesRead + bytesWritten - writableLength;
		if (position !== this.#position) {
			this.#position = position;
			this.#lastProgressAt = this.#clock.now();
		}

		return this.#lastProgressAt;
	}

	get isPaused(): boolean {
		return this.#isPausedByAccount || this.#isPausedByBody;
	}

	/** Adds to the bytes held for this connection; negative to remove. */
	addHeldBytes(bytes: number): void {
		if (bytes >= 0) {
			this.#entry.add(bytes);
		} else {
			this.#entry.remove(-bytes);
		}
	}

	addAwaitedBodies(count: number): void {
		this.#awaitedBodies += count;
	}

	/** Must be called regularly. Only time in which the connection is read counts against a body. */
	findExceededLimit(): ExceededLimit | undefined {
		const now = this.#clock.now();
		const {unreadTimeoutMs} = this.#limits;
		const isUnread = this.#socket.writableLength > 0;
		if (isUnread && now - this.lastProgressAt >= unreadTimeoutMs) {
			return 'response-progress';
		}

		return this.#isBodyTooSlow(now) ? 'body-progress' : undefined;
	}

	/** Stops reading while the buffer of a body is full. */
	setPausedByBody(isPaused: boolean): void {
		this.#isPausedByBody = isPaused;
		this.#setPaused('body', isPaused);
	}

	override pauseReading(): void {
		this.#isPausedByAccount = true;
		this.#setPaused('account', true);
	}

	override resumeReading(): void {
		this.#isPausedByAccount = false;
		this.#setPaused('account', false);
	}

	/** Called by the account. */
	override terminate(): void {
		this.#onTerminated();
		this.close();
	}

	close(): void {
		this.#socket.destroy();
	}

	#setPaused(reason: string, isPaused: boolean): void {
		if (isPaused) {
			this.#pipelines.pauseReading(this.#socket, reason);
		} else {
			this.#pipelines.resumeReading(this.#socket, reason);
		}
	}

	#isBodyTooSlow(now: Milliseconds): boolean {
		const {bodyIdleTimeoutMs, minimumBytesPerSecond} = this.#limits;
		const duration = now - this.#windowStart;
		const isReading =
			this.#awaitedBodies > 0 && !this.isPaused && !this.#socket.isPaused();
		if (isReading && duration < bodyIdleTimeoutMs) {
			return false;
		}

		const {bytesRead} = this.#socket;
		const received = bytesRead - this.#bytesAtWindowStart;
		this.#windowStart = now;
		this.#bytesAtWindowStart = bytesRead;
		return (
			isReading &&
			received < (minimumBytesPerSecond * duration) / millisecondsPerSecond
		);
	}
}
