import {createHash} from 'node:crypto';
import {minute, type Milliseconds} from '@parsleyvale/shared';

/** A host not seen for this long cannot hold a valid freshness lease. */
const voterRetention: Milliseconds = 60 * minute;

/** Interval at which expired hosts are removed. */
const cleanUpInterval: Milliseconds = minute;

/**
 * The entry hosts that count towards a majority: all hosts named by the
 * platform's list or by a peer, except those that left gracefully. A host that
 * disappears from the list counts for another hour, as it may be alive behind a
 * network partition.
 *
 * @internal
 */
export class Voters {
	readonly #self: string;
	readonly #lastSeenAt = new Map<string, Milliseconds>();
	/** Incarnations of hosts that left gracefully, by name. */
	readonly #departed = new Map<string, string | undefined>();
	#digest: string | undefined;
	#lastCleanedUpAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(self: string) {
		this.#self = self;
	}

	/** Excludes this host. */
	get peers(): string[] {
		return [...this.#lastSeenAt.keys()];
	}

	/** Includes this host. */
	get size(): number {
		return this.#lastSeenAt.size + 1;
	}

	get majority(): number {
		return Math.floor(this.size / 2) + 1;
	}

	get digest(): string {
		this.#digest ??= createHash('sha256')
			.update([this.#self, ...this.peers].sort().join(','))
			.digest('base64url')
			.slice(0, 8);
		return this.#digest;
	}

	has(name: string): boolean {
		return name === this.#self || this.#lastSeenAt.has(name);
	}

	hasLeft(name: string): boolean {
		return this.#departed.has(name);
	}

	/** Adds a host; one that left is added again only with a new incarnation. */
	add(name: string, incarnation: string | undefined, now: Milliseconds): void {
		if (name === this.#self || this.#hasDeparted(name, incarnation)) {
			return;
		}

		if (!this.#lastSeenAt.has(name)) {
			this.#digest = undefined;
		}

		this.#departed.delete(name);
		this.#lastSeenAt.set(name, now);
	}

	/** Removes a host that announced that it is stopping. */
	remove(name: string, incarnation: string): void {
		this.#departed.set(name, incarnation);
		this.#lastSeenAt.delete(name);
		this.#digest = undefined;
	}

	removeExpired(now: Milliseconds): void {
		if (now - this.#lastCleanedUpAt < cleanUpInterval) {
			return;
		}

		this.#lastCleanedUpAt = now;
		for (const [name, lastSeenAt] of this.#lastSeenAt) {
			if (now - lastSeenAt > voterRetention) {
				this.#lastSeenAt.delete(name);
				this.#digest = undefined;
			}
		}
	}

	#hasDeparted(name: string, incarnation: string | undefined): boolean {
		if (!this.#departed.has(name)) {
			return false;
		}

		return (
			incarnation === undefined || this.#departed.get(name) === incarnation
		);
	}
}
