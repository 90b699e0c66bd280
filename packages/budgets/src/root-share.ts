import type {Milliseconds} from '@parsleyvale/shared';
import type {Safeguards} from './safeguards.js';
import {toLateSpan, toSlots, type Interval} from './units.js';

/** A root share that this host may use while its two rights hold. */
export type HeldEntry = Interval & {
	readonly id: string;
	readonly epoch: number;
	/** End of the lease at the store, on this host's clock. */
	readonly hardEnd: Milliseconds;
	/** End of the guarantor's promise; infinite where none can take over. */
	readonly softEnd: Milliseconds;
	/** When slots of earlier holders began to rest; undefined: none rest. */
	readonly takenOverAt: Milliseconds | undefined;
};

export type ShareChange = {
	readonly at: Milliseconds;
	readonly units: number;
};

/** Changes kept so that buckets which rarely move can replay them. */
const changesKept = 256;

function getEnd(entry: HeldEntry): Milliseconds {
	return Math.min(entry.hardEnd, entry.softEnd);
}

/** What this host holds of every budget of one group, and until when. */
export class RootShare {
	/** Number of the first change that is still kept. */
	firstChange = 0;
	changes: ShareChange[] = [{at: Number.NEGATIVE_INFINITY, units: 0}];
	readonly #safeguards: Safeguards;
	readonly #entries = new Map<string, HeldEntry>();
	#nextEnd = Number.POSITIVE_INFINITY;

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

	/** Notes the rights that have ended, each at the time of its end. */
	advance(now: Milliseconds): void {
		while (this.#nextEnd <= now) {
			this.#update(this.#nextEnd, now);
		}
	}

	/** When the first of the rights now held ends. */
	getFirstEnd(): Milliseconds {
		return this.#nextEnd;
	}

	/** The slots of a count that this host's root share holds now. */
	getSlots(
		total: number,
		longestHold: Milliseconds,
		now: Milliseconds,
	): number {
		let slots = 0;
		const rest = toLateSpan(longestHold, this.#safeguards.clockMargin);
		for (const entry of this.#entries.values()) {
			const isResting =
				entry.takenOverAt !== undefined &&
				now <= entry.takenOverAt + rest &&
				this.#safeguards.waitForHolds;
			if (this.#isUsable(entry, now) && !isResting) {
				slots += toSlots(entry, total);
			}
		}

		return slots;
	}

	#isUsable(entry: HeldEntry, now: Milliseconds): boolean {
		return (this.#safeguards.needPromise ? getEnd(entry) : entry.hardEnd) > now;
	}

	#update(at: Milliseconds, now: Milliseconds): void {
		let units = 0;
		let nextEnd = Number.POSITIVE_INFINITY;
		for (const entry of this.#entries.values()) {
			if (this.#isUsable(entry, at)) {
				units += entry.to - entry.from;
				nextEnd = Math.min(
					nextEnd,
					this.#safeguards.needPromise ? getEnd(entry) : entry.hardEnd,
				);
			}
		}

		this.#nextEnd = nextEnd;
		if (units !== this.units) {
			this.changes.push({at: Math.min(at, now), units});
			this.#removeOldChanges();
		}
	}

	#removeOldChanges(): void {
		if (this.changes.length > 2 * changesKept) {
			this.firstChange += this.changes.length - changesKept;
			this.changes = this.changes.slice(-changesKept);
		}
	}
}
