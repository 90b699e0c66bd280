import type {Clock, Milliseconds} from '@parsleyvale/shared';
import type {BytesHolder} from './bytes-holder.js';
import {HeldBytesEntry} from './held-bytes-entry.js';

/** What the held bytes require: nothing, to stop reading, to refuse bodies, to close connections. */
export type MemoryPressure = 'none' | 'pause' | 'refuse' | 'close';

export type HeldBytesOptions = {
	readonly maximumBytes: number;
	readonly clock: Clock;
};

const pauseFraction = 0.5;
const refuseFraction = 0.75;
const closeFraction = 0.9;
/** Connections that hold less than this part of the maximum are neither paused nor get turns. */
const smallFraction = 1 / 2048;
/** Connections that are read above the first watermark. */
const maximumTurns = 16;
/** A connection without progress for this long loses its turn. */
const turnTimeout: Milliseconds = 100;
const checkInterval: Milliseconds = 100;

/**
 * The account of the bytes that a process holds for its connections.
 *
 * @example
 * const heldBytes = new HeldBytes({maximumBytes: 64 * 1024 * 1024, clock});
 * const entry = heldBytes.open(holder);
 * entry.add(chunk.length);
 * entry.close();
 */
export class HeldBytes {
	readonly #options: HeldBytesOptions;
	/** Open entries in the order in which they get turns. */
	readonly #entries = new Set<HeldBytesEntry>();
	/** Entries that are read above the first watermark. */
	readonly #turns = new Set<HeldBytesEntry>();
	#total = 0;
	#terminatedCount = 0;
	#isPausing = false;
	#isClosed = false;
	#checkTimer: NodeJS.Timeout | undefined;

	constructor(options: HeldBytesOptions) {
		this.#options = options;
	}

	get total(): number {
		return this.#total;
	}

	get entryCount(): number {
		return this.#entries.size;
	}

	/** Number of connections that the account has terminated. */
	get terminatedCount(): number {
		return this.#terminatedCount;
	}

	get pressure(): MemoryPressure {
		const fraction = this.#total / this.#options.maximumBytes;
		if (fraction >= closeFraction) {
			return 'close';
		}

		if (fraction >= refuseFraction) {
			return 'refuse';
		}

		return fraction >= pauseFraction ? 'pause' : 'none';
	}

	/** Opens an entry for a connection; it must be closed when the connection closes. */
	open(holder: BytesHolder): HeldBytesEntry {
		const entry: HeldBytesEntry = new HeldBytesEntry({
			holder,
			onChanged: (bytes) => {
				this.#onChanged(entry, bytes);
			},
			onClosed: () => {
				this.#entries.delete(entry);
				this.#turns.delete(entry);
			},
		});
		this.#entries.add(entry);
		return entry;
	}

	/** Stops the checks; entries may still be closed. */
	close(): void {
		this.#isClosed = true;
		clearInterval(this.#checkTimer);
	}

	#onChanged(entry: HeldBytesEntry, bytes: number): void {
		this.#total += bytes;
		if (bytes <= 0 || this.pressure === 'none') {
			return;
		}

		this.#startChecks();
		if (!this.#turns.has(entry) && !this.#isSmall(entry)) {
			entry.setPaused(true, this.#options.clock.now());
		}

		if (this.pressure === 'close') {
			this.#terminateMostIdle();
		}
	}

	/** The checks run only while bytes are held above the first watermark. */
	#startChecks(): void {
		if (this.#isPausing || this.#isClosed) {
			return;
		}

		this.#isPausing = true;
		this.#checkTimer = setInterval(() => {
			this.#check();
		}, checkInterval);
		this.#checkTimer.unref();
		this.#assignTurns();
	}

	#check(): void {
		if (this.pressure !== 'none') {
			this.#assignTurns();
			return;
		}

		this.#isPausing = false;
		clearInterval(this.#checkTimer);
		const now = this.#options.clock.now();
		for (const entry of this.#entries) {
			entry.setPaused(false, now);
		}
	}

	/**
	 * Lets the first connections with progress read, so that their bodies can complete.
	 * Those that send nothing are read, too, and are paused when they send.
	 */
	#assignTurns(): void {
		const now = this.#options.clock.now();
		this.#turns.clear();
		for (const entry of this.#entries) {
			if (this.#isSmall(entry) || entry.isStalled(now, turnTimeout)) {
				entry.setPaused(false, now);
			} else if (this.#turns.size < maximumTurns) {
				this.#turns.add(entry);
				entry.setPaused(false, now);
			} else {
				entry.setPaused(true, now);
			}
		}
	}

	#isSmall({bytes}: HeldBytesEntry): boolean {
		return bytes <= this.#options.maximumBytes * smallFraction;
	}

	/** Terminates connections until the total is below the second watermark. */
	#terminateMostIdle(): void {
		const now = this.#options.clock.now();
		const weights = new Map<HeldBytesEntry, number>();
		for (const entry of this.#entries) {
			if (entry.bytes > 0) {
				weights.set(entry, entry.bytes * (1 + entry.computeIdleTime(now)));
			}
		}

		const candidates = [...weights.keys()].sort(
			(a, b) => weights.get(b)! - weights.get(a)!,
		);
		const target = this.#options.maximumBytes * refuseFraction;
		for (const entry of candidates) {
			if (this.#total <= target) {
				return;
			}

			this.#terminatedCount += 1;
			entry.terminate();
		}
	}
}
