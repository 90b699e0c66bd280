import type {Milliseconds} from '@parsleyvale/shared';
import type {BytesHolder} from './bytes-holder.js';

export type HeldBytesEntryOptions = {
	readonly holder: BytesHolder;
	readonly onChanged: (bytes: number) => void;
	readonly onClosed: (entry: HeldBytesEntry) => void;
};

/** The bytes held by one connection. Its methods do nothing once it is closed. */
export class HeldBytesEntry {
	readonly #options: HeldBytesEntryOptions;
	#bytes = 0;
	#isClosed = false;
	#isPaused = false;
	#resumedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Idle time before the last resume. */
	#previousIdleTime: Milliseconds = 0;

	constructor(options: HeldBytesEntryOptions) {
		this.#options = options;
	}

	get bytes(): number {
		return this.#bytes;
	}

	get isPaused(): boolean {
		return this.#isPaused;
	}

	add(bytes: number): void {
		if (!this.#isClosed) {
			this.#bytes += bytes;
			this.#options.onChanged(bytes);
		}
	}

	/** Removes at most what the entry holds. */
	remove(bytes: number): void {
		const removed = Math.min(bytes, this.#bytes);
		this.#bytes -= removed;
		this.#options.onChanged(-removed);
	}

	/** Releases all bytes of the entry. */
	close(): void {
		if (!this.#isClosed) {
			this.remove(this.#bytes);
			this.#isClosed = true;
			this.#options.onClosed(this);
		}
	}

	/** Used by the account. */
	setPaused(isPaused: boolean, now: Milliseconds): void {
		if (isPaused === this.#isPaused || this.#isClosed) {
			return;
		}

		if (isPaused) {
			this.#previousIdleTime = this.computeIdleTime(now);
		}

		this.#isPaused = isPaused;
		if (isPaused) {
			this.#options.holder.pauseReading();
		} else {
			this.#resumedAt = now;
			this.#options.holder.resumeReading();
		}
	}

	/** Time without progress, without the time while the account had paused the connection. */
	computeIdleTime(now: Milliseconds): Milliseconds {
		if (this.#isPaused) {
			return this.#previousIdleTime;
		}

		const {lastProgressAt} = this.#options.holder;
		return lastProgressAt >= this.#resumedAt
			? Math.max(0, now - lastProgressAt)
			: this.#previousIdleTime + now - this.#resumedAt;
	}

	/** Whether the connection has been read for `duration` without progress since it was last resumed. */
	isStalled(now: Milliseconds, duration: Milliseconds): boolean {
		const since = Math.max(
			this.#options.holder.lastProgressAt,
			this.#resumedAt,
		);
		return !this.#isPaused && now - since >= duration;
	}

	/** Closes the connection and releases its bytes. */
	terminate(): void {
		this.close();
		this.#options.holder.terminate();
	}
}
