import type {Context, ObjectWritten} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {
	claimRemovalsPerTick,
	claimRetention,
	maximumRetainedClaims,
} from './limits.js';

type RetainedClaim = {
	readonly name: string;
	readonly version: number;
	/** On this host's clock: no other host's would do. */
	readonly removeAt: Milliseconds;
};

/** Ended claims that this host removes when nobody repeats them any more. */
export class RetainedClaims {
	readonly #prefix: string;
	readonly #claims = new Map<string, RetainedClaim>();
	readonly #removals = new Map<string, RetainedClaim>();
	#calls = 0;

	constructor(incarnation: string) {
		this.#prefix = `claims/${incarnation}/removal`;
	}

	/** Remembers an ended claim. Beyond the bound, the oldest is left for good. */
	add(name: string, version: number, now: Milliseconds): void {
		this.#claims.delete(name);
		this.#claims.set(name, {name, version, removeAt: now + claimRetention});
		if (this.#claims.size > maximumRetainedClaims) {
			const [oldest] = this.#claims.keys();
			this.#claims.delete(oldest!);
		}
	}

	/** Removes a few claims whose time is over, oldest first. */
	removeOld(context: Context): void {
		let room = claimRemovalsPerTick - this.#removals.size;
		for (const claim of this.#claims.values()) {
			if (room <= 0 || claim.removeAt > context.now) {
				return;
			}

			this.#claims.delete(claim.name);
			this.#remove(claim, context);
			room--;
		}
	}

	/** Whether the answer was to a removal. */
	onWritten(event: ObjectWritten, now: Milliseconds): boolean {
		const claim = this.#removals.get(event.operationId);
		if (claim === undefined) {
			return false;
		}

		this.#removals.delete(event.operationId);
		if (event.result.kind === 'failed' || event.result.kind === 'unknown') {
			// A removal that took effect makes the next one a harmless conflict.
			this.add(claim.name, claim.version, now);
		}

		return true;
	}

	#remove(claim: RetainedClaim, context: Context): void {
		this.#calls++;
		const operationId = `${this.#prefix}/${this.#calls}`;
		this.#removals.set(operationId, claim);
		context.emit({
			type: 'write-object',
			operationId,
			name: claim.name,
			expectedVersion: claim.version,
			value: null,
		});
	}
}
