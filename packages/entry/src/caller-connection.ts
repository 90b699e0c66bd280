import type {Socket} from 'node:net';
import {
	ByteCharge,
	BytesHolder,
	type HeldBytes,
	type HeldBytesEntry,
} from '@parsleyvale/held-bytes';
import type {Clock, Milliseconds} from '@parsleyvale/shared';
import type {
	ConnectionLimitName,
	ConnectionLimits,
} from './connection-limits.js';
import {ProgressPeriod} from './progress-period.js';

/** The parser refuses a longer head. */
const maximumHeadCharge = 64 * 1024;

export type CallerConnectionOptions = {
	readonly socket: Socket;
	readonly clock: Clock;
	readonly heldBytes: HeldBytes;
	readonly limits: ConnectionLimits;
	readonly pauseReading: (reason: string) => void;
	readonly resumeReading: (reason: string) => void;
	readonly onLimit: (limit: ConnectionLimitName) => void;
};

/** A caller's connection: what it holds, and whether it makes progress. */
export class CallerConnection extends BytesHolder {
	readonly entry: HeldBytesEntry;
	readonly #options: CallerConnectionOptions;
	readonly #bodyPeriod: ProgressPeriod;
	readonly #responsePeriod: ProgressPeriod;
	readonly #headCharge: ByteCharge;
	#unfinishedBodies = 0;
	#openRequests = 0;
	#isPausedByAccount = false;
	#isBodyPaused = false;
	#progressBytes = 0;
	#lastProgressAt: Milliseconds;
	/** Received bytes when the last request was complete; more belong to a head. */
	#bytesBeforeHead = 0;
	#headStartedAt: Milliseconds | undefined;

	constructor(options: CallerConnectionOptions) {
		super();
		this.#options = options;
		const {clock, limits, heldBytes} = options;
		this.#lastProgressAt = clock.now();
		this.#bodyPeriod = new ProgressPeriod(
			limits.bodyProgressPeriod,
			(limits.minimumBytesPerSecond * limits.bodyProgressPeriod) / 1000,
		);
		this.#responsePeriod = new ProgressPeriod(limits.responseProgressPeriod, 1);
		this.entry = heldBytes.open(this);
		this.#headCharge = new ByteCharge(this.entry);
	}

	/** While only this host or a server keeps the connection waiting, it makes progress. */
	override get lastProgressAt(): Milliseconds {
		const {socket, clock} = this.#options;
		const progressBytes = socket.bytesRead + this.#sentBytes;
		const isWaitingForCaller =
			this.#isWaitingForBody || this.#isWaitingForReading;
		if (!isWaitingForCaller || progressBytes !== this.#progressBytes) {
			this.#progressBytes = progressBytes;
			this.#lastProgressAt = clock.now();
		}

		return this.#lastProgressAt;
	}

	override pauseReading(): void {
		this.#isPausedByAccount = true;
		this.#options.pauseReading('account');
	}

	override resumeReading(): void {
		this.#isPausedByAccount = false;
		this.#options.resumeReading('account');
	}

	override terminate(): void {
		this.#options.onLimit('held-bytes-closed');
		this.#options.socket.destroy();
	}

	setBodyPaused(isPaused: boolean): void {
		this.#isBodyPaused = isPaused;
		if (isPaused) {
			this.#options.pauseReading('body');
		} else {
			this.#options.resumeReading('body');
		}
	}

	onRequestStarted(): void {
		this.#openRequests += 1;
		this.#markHeadEnd();
	}

	onRequestEnded(): void {
		this.#openRequests -= 1;
		this.#markHeadEnd();
	}

	onBodyStarted(): void {
		this.#bodyPeriod.reset(this.#options.socket.bytesRead);
		this.#unfinishedBodies += 1;
	}

	onBodyEnded(): void {
		this.#unfinishedBodies -= 1;
		this.#markHeadEnd();
	}

	/** Returns the limit that the connection breaks, if any. Called at short intervals. */
	check(
		now: Milliseconds,
		headTimeout: Milliseconds,
	): ConnectionLimitName | undefined {
		const {socket} = this.#options;
		const isBodyLate = this.#bodyPeriod.hasFailed(
			this.#isWaitingForBody && !this.#isPausedByAccount,
			socket.bytesRead,
			now,
		);
		if (isBodyLate) {
			return 'body-progress';
		}

		const isResponseLate = this.#responsePeriod.hasFailed(
			this.#isWaitingForReading,
			this.#sentBytes,
			now,
		);
		if (isResponseLate) {
			return 'response-progress';
		}

		this.#headCharge.set(Math.min(this.#headBytes, maximumHeadCharge));
		return this.#isHeadLate(now, headTimeout) ? 'head-timeout' : undefined;
	}

	get #isWaitingForBody(): boolean {
		return this.#unfinishedBodies > 0 && !this.#isBodyPaused;
	}

	get #isWaitingForReading(): boolean {
		return this.#options.socket.writableLength > 0;
	}

	/** Received bytes of a head that is not complete. */
	get #headBytes(): number {
		return this.#openRequests === 0
			? this.#options.socket.bytesRead - this.#bytesBeforeHead
			: 0;
	}

	get #sentBytes(): number {
		const {socket} = this.#options;
		return socket.bytesWritten - socket.writableLength;
	}

	#isHeadLate(now: Milliseconds, headTimeout: Milliseconds): boolean {
		this.#headStartedAt =
			this.#headBytes > 0 ? (this.#headStartedAt ?? now) : undefined;
		return (
			this.#headStartedAt !== undefined &&
			now - this.#headStartedAt > headTimeout
		);
	}

	#markHeadEnd(): void {
		this.#bytesBeforeHead = this.#options.socket.bytesRead;
		this.#headStartedAt = undefined;
	}
}
