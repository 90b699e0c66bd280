import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Member} from './members.js';

/**
 * Shortest outage after which servers' entries may have expired. They expire after
 * three missed heartbeats of 1.5 s; the last one may precede the outage by one interval.
 */
const minimumOutage: Milliseconds = 3 * second;
/** Entries that expired during an outage reappear within this time or not at all: the platform's two seconds and the delay of a heartbeat. */
const reregistrationTime: Milliseconds = 2.3 * second;
/** How long the end of an outage is announced to other hosts. */
const announcementTime: Milliseconds = 10 * second;

/** Detects store outages that were long enough for servers' entries to expire. */
export class StoreOutage {
	#lastAnsweredAt: Milliseconds | undefined;
	#regainedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	/** This host started reading from the store; earlier silence does not count as an outage. */
	onReadingStarted(now: Milliseconds): void {
		this.#lastAnsweredAt = now;
	}

	onAnswered(now: Milliseconds): void {
		const lastAnsweredAt = this.#lastAnsweredAt ?? now;
		if (now - lastAnsweredAt >= minimumOutage) {
			this.#regainedAt = now;
		}

		this.#lastAnsweredAt = now;
	}

	/** Another host reports how long ago an outage ended. */
	onReported(ago: Milliseconds, now: Milliseconds): void {
		this.#regainedAt = Math.max(this.#regainedAt, now - ago);
	}

	/** Time since the last outage ended. Null if none was recent, since undefined is lost in messages. */
	computeRegainedAgo(now: Milliseconds): Milliseconds | null {
		const ago = now - this.#regainedAt;
		return ago <= announcementTime ? Math.round(ago) : null;
	}

	/**
	 * Computes until when missing entries may reappear. If another host could read
	 * from the store all along, only this host was partitioned from it.
	 */
	computeReregistrationDeadline(others: readonly Member[]): Milliseconds {
		const wasStoreReachable = others.some(
			({digest}) =>
				digest?.isReading === true &&
				!digest.isStoreLost &&
				digest.storeRegainedAgoMs === null,
		);
		return wasStoreReachable
			? Number.NEGATIVE_INFINITY
			: this.#regainedAt + reregistrationTime;
	}
}
