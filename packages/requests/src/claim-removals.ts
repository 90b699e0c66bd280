import type {Context, ObjectWritten} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {
	maximumRemovalsInFlight,
	claimRetention,
	maximumTrackedClaims,
} from './limits.js';

type EndedClaim = {
	readonly name: string;
	readonly version: number;
	/** By the clock of this host; clocks of different hosts are not comparable. */
	readonly expiresAt: Milliseconds;
};

/** Removes the objects of ended claims of this host after the retention period. */
export class ClaimRemovals {
	readonly #prefix: string;
	readonly #claims = new Map<string, EndedClaim>();
	readonly #pendingRemovals = new Map<string, EndedClaim>();
	#operationCount = 0;

	constructor(incarnation: string) {
		this.#prefix = `claims/${incarnation}/removal`;
	}

	/** Tracks an ended claim. Above the limit, the oldest is no longer tracked, and its object stays in the store. */
	add(name: string, version: number, now: Milliseconds): void {
		this.#claims.delete(name);
		this.#claims.set(name, {name, version, expiresAt: now + claimRetention});
		if (this.#claims.size > maximumTrackedClaims) {
			const [oldest] = this.#claims.keys();
			this.#claims.delete(oldest!);
		}
	}

	/** Removes expired claims, oldest first, within the limit of removals in flight. */
	removeExpired(context: Context): void {
		let remaining = maximumRemovalsInFlight - this.#pendingRemovals.size;
		for (const claim of this.#claims.values()) {
			if (remaining <= 0 || claim.expiresAt > context.now) {
				return;
			}

			this.#claims.delete(claim.name);
			this.#remove(claim, context);
			remaining--;
		}
	}

	/** Handles the answer to a removal; returns false for other writes. */
	onWritten(event: ObjectWritten, now: Milliseconds): boolean {
		const claim = this.#pendingRemovals.get(event.operationId);
		if (claim === undefined) {
			return false;
		}

		this.#pendingRemovals.delete(event.operationId);
		if (event.result.kind === 'failed' || event.result.kind === 'unknown') {
			// If the removal did take effect, the retry conflicts harmlessly.
			this.add(claim.name, claim.version, now);
		}

		return true;
	}

	#remove(claim: EndedClaim, context: Context): void {
		this.#operationCount++;
		const operationId = `${this.#prefix}/${this.#operationCount}`;
		this.#pendingRemovals.set(operationId, claim);
		context.emit({
			type: 'write-object',
			operationId,
			name: claim.name,
			expectedVersion: claim.version,
			value: null,
		});
	}
}
