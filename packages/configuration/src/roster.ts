import {createHash} from 'node:crypto';
import {minute, type Milliseconds} from '@parsleyvale/shared';

/** A host that nobody lists or hears for so long cannot hold a right to keys. */
const forgetAfter: Milliseconds = 60 * minute;

const clearInterval: Milliseconds = minute;

/**
 * The entry hosts whose majority decides on keys: all that the platform's list
 * or a peer told of, but for those that left gracefully. A host that drops out
 * of the list stays for an hour: it may be alive behind a cut.
 *
 * @internal
 */
export class Roster {
	readonly #self: string;
	readonly #seenAt = new Map<string, Milliseconds>();
	readonly #left = new Map<string, string | undefined>();
	#digest: string | undefined;
	#clearedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(self: string) {
		this.#self = self;
	}

	/** Without this host. */
	get peers(): string[] {
		return [...this.#seenAt.keys()];
	}

	/** This host counted in. */
	get size(): number {
		return this.#seenAt.size + 1;
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
		return name === this.#self || this.#seenAt.has(name);
	}

	hasLeft(name: string): boolean {
		return this.#left.has(name);
	}

	/** Adds a host; one that left comes back only as another process. */
	add(name: string, incarnation: string | undefined, now: Milliseconds): void {
		if (name === this.#self || this.#isGone(name, incarnation)) {
			return;
		}

		if (!this.#seenAt.has(name)) {
			this.#digest = undefined;
		}

		this.#left.delete(name);
		this.#seenAt.set(name, now);
	}

	/** The host said that it is stopping and vouches no more. */
	remove(name: string, incarnation: string): void {
		this.#left.set(name, incarnation);
		this.#seenAt.delete(name);
		this.#digest = undefined;
	}

	clearForgotten(now: Milliseconds): void {
		if (now - this.#clearedAt < clearInterval) {
			return;
		}

		this.#clearedAt = now;
		for (const [name, seenAt] of this.#seenAt) {
			if (now - seenAt > forgetAfter) {
				this.#seenAt.delete(name);
				this.#digest = undefined;
			}
		}
	}

	#isGone(name: string, incarnation: string | undefined): boolean {
		if (!this.#left.has(name)) {
			return false;
		}

		return incarnation === undefined || this.#left.get(name) === incarnation;
	}
}
