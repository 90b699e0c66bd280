import type {Clock, Milliseconds} from '@parsleyvale/shared';

/** Exceeds the interval between two ticks of an idle host, each of which is an activity. */
const minimumStall: Milliseconds = 300;
/** Time after a stall in which a full queue of datagrams is read. */
const drainTime: Milliseconds = 1000;

/**
 * Bounds the time for which a datagram may have waited in this process's socket
 * before it was read. While the process is frozen, its machine still queues them.
 */
export class QueueTimeBound {
	readonly #clock: Clock;
	readonly #getWallTime: () => Milliseconds;
	#lastActiveAt: Milliseconds;
	#lastWallTime: Milliseconds;
	#stallDuration: Milliseconds = 0;
	#stallEndedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, getWallTime: () => Milliseconds = Date.now) {
		this.#clock = clock;
		this.#getWallTime = getWallTime;
		this.#lastActiveAt = clock.now();
		this.#lastWallTime = getWallTime();
	}

	/** Records that the process runs; returns the bound for a datagram that is read now. */
	update(): Milliseconds {
		const now = this.#clock.now();
		const wallTime = this.#getWallTime();
		// A suspension of the machine shows only in the wall clock.
		const gap = Math.max(
			now - this.#lastActiveAt,
			wallTime - this.#lastWallTime,
		);
		this.#lastActiveAt = now;
		this.#lastWallTime = wallTime;
		const sinceStall = now - this.#stallEndedAt;
		const isDraining = sinceStall < drainTime;
		if (gap > minimumStall) {
			const earlier = isDraining ? this.#stallDuration + sinceStall : 0;
			this.#stallDuration = Math.max(gap, earlier);
			this.#stallEndedAt = now;
			return this.#stallDuration;
		}

		return isDraining ? this.#stallDuration + sinceStall : gap;
	}
}
