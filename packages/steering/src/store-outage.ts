import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Member} from './members.js';

/**
 * Shortest outage after which servers' entries may have expired. They expire after
 * three missed heartbeats of 1.5 s; the last one may precede the outage by one interval.
 */
const minimumOutage: Milliseconds = 3 * second;
/** Time after an outage within which servers whose entries expired register again: two seconds by the rules of the platform, and the delay of a heartbeat. */
const reregistrationDuration: Milliseconds = 2.3 * second;
/** How long the end of an outage is announced to other hosts. */
const outageAnnouncementDuration: Milliseconds = 10 * second;

/** Detects store outages that were long enough for servers' entries to expire. */
export class StoreOutage {
	#lastAnsweredAt: Milliseconds | undefined;
	/** Since when the store has answered this host without an outage; undefined: it does not read. */
	#answeredSince: Milliseconds | undefined;
	#outageEndedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** When this host learned that the store had returned from an older copy. */
	#restoredAt: Milliseconds = Number.NEGATIVE_INFINITY;

	/** This host started reading from the store; earlier silence does not count as an outage. */
	onReadingStarted(now: Milliseconds): void {
		this.#lastAnsweredAt = now;
		this.#answeredSince = undefined;
	}

	onReadingStopped(): void {
		this.#answeredSince = undefined;
	}

	/** The store has returned from an older copy, in which recent entries of servers are missing. */
	onRestored(now: Milliseconds): void {
		this.#restoredAt = now;
	}

	/** A call was answered that the store had held open for `heldDuration`. */
	onAnswered(now: Milliseconds, heldDuration: Milliseconds): void {
		const lastAnsweredAt = this.#lastAnsweredAt ?? now;
		if (now - heldDuration - lastAnsweredAt >= minimumOutage) {
			this.#recordEnd(now);
			this.#answeredSince = now;
		}

		this.#answeredSince ??= now;
		this.#lastAnsweredAt = now;
	}

	/**
	 * Another host reports the time since the end of an outage. If the store has
	 * answered this host all along, only the other one was turned away, and servers
	 * could renew their entries.
	 */
	onReported(timeSinceOutage: Milliseconds, now: Milliseconds): void {
		const endedAt = now - timeSinceOutage;
		if (!this.#wasAnsweredSince(endedAt - minimumOutage, now)) {
			this.#recordEnd(endedAt);
		}
	}

	/** Time since the last outage ended; null if none was recent, since undefined is lost in messages. */
	computeTimeSinceOutage(now: Milliseconds): Milliseconds | null {
		const timeSinceOutage = now - this.#outageEndedAt;
		return timeSinceOutage <= outageAnnouncementDuration
			? Math.round(timeSinceOutage)
			: null;
	}

	/**
	 * Computes until when missing entries may reappear. If another host could read
	 * from the store all along, only this host was partitioned from it, unless the
	 * store returned from an older copy.
	 */
	computeReregistrationDeadline(
		others: readonly Member[],
		now: Milliseconds,
	): Milliseconds {
		const outageBegan = this.#outageEndedAt - minimumOutage;
		const wasStoreReachable = others.some(
			({digest}) =>
				digest?.isReading === true &&
				!digest.isStoreLost &&
				(digest.storeRegainedAgoMs === null ||
					now - digest.storeRegainedAgoMs <= outageBegan),
		);
		const lossEndedAt = wasStoreReachable
			? this.#restoredAt
			: Math.max(this.#outageEndedAt, this.#restoredAt);
		return lossEndedAt + reregistrationDuration;
	}

	/**
	 * Hosts notice the end of an outage one after the other, and reports of it are
	 * older than they say by the time in transit. The store is back from the earliest
	 * of these times; only one at least as long after it as an outage lasts belongs to
	 * another outage.
	 */
	#recordEnd(endedAt: Milliseconds): void {
		const difference = endedAt - this.#outageEndedAt;
		if (difference >= minimumOutage) {
			this.#outageEndedAt = endedAt;
		} else if (difference > -minimumOutage) {
			this.#outageEndedAt = Math.min(this.#outageEndedAt, endedAt);
		}
	}

	#wasAnsweredSince(since: Milliseconds, now: Milliseconds): boolean {
		return (
			this.#answeredSince !== undefined &&
			this.#answeredSince <= since &&
			now - this.#lastAnsweredAt! < minimumOutage
		);
	}
}
