import type {Milliseconds} from '@parsleyvale/shared';
import type {Safeguards} from './safeguards.js';
import {extendByClockDrift, countSlots, type UnitRange} from './units.js';

/**
 * A root share that this host holds, and may use until its lease or its promise
 * expires.
 */
export type HeldEntry = UnitRange & {
	readonly id: string;
	readonly epoch: number;
	/** When the lease in the store expires, on this host's clock. */
	readonly leaseExpiresAt: Milliseconds;
	/**
	 * When the guarantor's promise expires; infinite if no process can take over
	 * the share before its lease expires.
	 */
	readonly promiseExpiresAt: Milliseconds;
	/**
	 * When the share was taken over: its slots stay reserved, as the previous
	 * holder may still use them. Undefined if no slots are reserved.
	 */
	readonly takenOverAt: Milliseconds | undefined;
};

export type ShareChange = {
	readonly at: Milliseconds;
	readonly units: number;
};

/**
 * Changes kept for token buckets, which apply the missed ones when they are next
 * used.
 */
const maxKeptChanges = 256;

function getExpiry(entry: HeldEntry): Milliseconds {
	return Math.min(entry.leaseExpiresAt, entry.promiseExpiresAt);
}

/**
 * All root shares of one group of budgets that this host holds, and the history
 * of their total units.
 */
export class RootShares {
	/** Number of the oldest change still kept. */
	firstChangeNumber = 0;
	changes: ShareChange[] = [{at: Number.NEGATIVE_INFINITY, units: 0}];
	readonly #safeguards: Safeguards;
	readonly #entries = new Map<string, HeldEntry>();
	#nextExpiry = Number.POSITIVE_INFINITY;

	constructor(safeguards: Safeguards) {
		this.#safeguards = safeguards;
	}

	get units(): number {
		return this.changes.at(-1)!.units;
	}

	listEntries(): HeldEntry[] {
		return [...this.#entries.values()];
	}

	findEntry(id: string): HeldEntry | undefined {
		return this.#entries.get(id);
	}

	setEntry(entry: HeldEntry, now: Milliseconds): void {
		this.advance(now);
		this.#entries.set(entry.id, entry);
		this.#update(now, now);
	}

	removeEntry(id: string, now: Milliseconds): void {
		this.advance(now);
		if (this.#entries.delete(id)) {
			this.#update(now, now);
		}
	}

	/** Applies expired leases and promises, each at its time of expiry. */
	advance(now: Milliseconds): void {
		while (this.#nextExpiry <= now) {
			this.#update(this.#nextExpiry, now);
		}
	}

	/** Returns when the next lease or promise expires. */
	getNextExpiry(): Milliseconds {
		return this.#nextExpiry;
	}

	/** Returns the slots of a count budget in the root shares usable now. */
	getSlots(
		total: number,
		maxHoldDuration: Milliseconds,
		now: Milliseconds,
	): number {
		let slots = 0;
		const reservedDuration = extendByClockDrift(
			maxHoldDuration,
			this.#safeguards.applyClockMargin,
		);
		for (const entry of this.#entries.values()) {
			const isReserved =
				entry.takenOverAt !== undefined &&
				now <= entry.takenOverAt + reservedDuration &&
				this.#safeguards.waitForHolds;
			if (this.#isUsable(entry, now) && !isReserved) {
				slots += countSlots(entry, total);
			}
		}

		return slots;
	}

	#isUsable(entry: HeldEntry, now: Milliseconds): boolean {
		return (
			(this.#safeguards.requirePromise
				? getExpiry(entry)
				: entry.leaseExpiresAt) > now
		);
	}

	#update(at: Milliseconds, now: Milliseconds): void {
		let units = 0;
		let nextExpiry = Number.POSITIVE_INFINITY;
		for (const entry of this.#entries.values()) {
			if (this.#isUsable(entry, at)) {
				units += entry.to - entry.from;
				nextExpiry = Math.min(
					nextExpiry,
					this.#safeguards.requirePromise
						? getExpiry(entry)
						: entry.leaseExpiresAt,
				);
			}
		}

		this.#nextExpiry = nextExpiry;
		if (units !== this.units) {
			this.changes.push({at: Math.min(at, now), units});
			this.#removeOldChanges();
		}
	}

	#removeOldChanges(): void {
		if (this.changes.length > 2 * maxKeptChanges) {
			this.firstChangeNumber += this.changes.length - maxKeptChanges;
			this.changes = this.changes.slice(-maxKeptChanges);
		}
	}
}
