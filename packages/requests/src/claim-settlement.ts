import type {
	Context,
	Membership,
	ObjectRead,
	ObjectWritten,
	StoredObject,
} from '@parsleyvale/kernel';
import {ErrorKind, type EntryHost} from '@parsleyvale/shared';
import type {ClaimEntry} from './claim-entry.js';
import {claimObjectSchema, type ClaimObject} from './claim-object.js';
import {toRefusal} from './claim-refusal.js';
import {ClaimStore} from './claim-store.js';
import {claimRetryInterval, claimTimeout} from './limits.js';
import type {Safeguards} from './safeguards.js';

export type ClaimsDependencies = {
	readonly self: EntryHost;
	readonly membership: Membership;
	readonly safeguards: Safeguards;
};

export type SettledListener = (entry: ClaimEntry, context: Context) => void;

/**
 * Reads and writes the object of each claim until the store matches the phase of
 * the claim: the claim is then settled, unless it is held.
 */
export class ClaimSettlement {
	readonly #options: ClaimsDependencies;
	readonly #store: ClaimStore;
	readonly #onSettled: SettledListener;

	constructor(options: ClaimsDependencies, onSettled: SettledListener) {
		this.#options = options;
		this.#store = new ClaimStore(options.self.incarnation);
		this.#onSettled = onSettled;
	}

	/** Starts writing the object for the current phase of the entry. */
	start(entry: ClaimEntry, context: Context): void {
		this.#write(entry, context);
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const entry = this.#store.endOperation(event.operationId);
		if (entry === undefined) {
			return;
		}

		switch (event.result.kind) {
			case 'written': {
				entry.version = event.result.version;
				this.#onConfirmed(entry, context);
				break;
			}

			case 'conflict': {
				this.#onConflict(entry, context);
				break;
			}

			case 'unknown': {
				entry.mayBeWritten = true;
				this.#onUnknownResult(entry, context);
				break;
			}

			case 'failed': {
				// Retried on the next tick.
				break;
			}
		}
	}

	onRead(event: ObjectRead, context: Context): void {
		const entry = this.#store.endOperation(event.operationId);
		if (entry === undefined || event.result.kind === 'failed') {
			return;
		}

		if (event.result.kind === 'missing') {
			entry.version = 0;
			this.#onMissing(entry, context);
			return;
		}

		this.#onFound(entry, event.result.object, context);
	}

	/**
	 * Releases a claim whose request did not run. Removes it from the store if it
	 * was, or may have been, written.
	 */
	release(entry: ClaimEntry, context: Context): void {
		const isClaiming = entry.phase === 'claiming';
		entry.mayBeWritten ||= entry.operationId !== undefined;
		entry.phase = 'releasing';
		if (isClaiming && !entry.mayBeWritten) {
			this.#settle(entry, context);
			return;
		}

		if (isClaiming) {
			this.#store.read(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	/** Retries an operation without a conclusive result; refuses on timeout. */
	retry(entry: ClaimEntry, context: Context): void {
		const age = context.now - entry.claimedAt;
		if (entry.phase === 'claiming' && age >= claimTimeout) {
			this.#refuseTimedOut(entry, context);
			return;
		}

		const isDue = context.now - entry.lastCallAt >= claimRetryInterval;
		if (entry.phase === 'held' || !isDue || entry.operationId !== undefined) {
			return;
		}

		if (entry.mayBeWritten) {
			this.#store.read(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	/** Writes the value that matches the phase of the entry. */
	#write(entry: ClaimEntry, context: Context): void {
		const {self} = this.#options;
		const value: ClaimObject = {
			requestId: entry.claim.requestId,
			holder: {name: self.name, incarnation: self.incarnation},
			fingerprint: entry.claim.fingerprint,
			ending: entry.outcome,
		};
		const isReleasing = entry.phase === 'releasing';
		this.#store.write(entry, isReleasing ? null : value, context);
	}

	/** The stored object matches the phase of the entry. */
	#onConfirmed(entry: ClaimEntry, context: Context): void {
		entry.mayBeWritten = false;
		switch (entry.phase) {
			case 'claiming': {
				entry.phase = 'held';
				this.#notifyListener(entry, undefined, context);
				break;
			}

			case 'completing':
			case 'releasing': {
				entry.mustRemove = true;
				this.#settle(entry, context);
				break;
			}

			case 'held': {
				break;
			}
		}
	}

	#onConflict(entry: ClaimEntry, context: Context): void {
		if (!this.#options.safeguards.respectClaims) {
			this.#onConfirmed(entry, context);
			return;
		}

		this.#store.read(entry, context);
	}

	#onUnknownResult(entry: ClaimEntry, context: Context): void {
		if (!this.#options.safeguards.readBack) {
			this.#onConfirmed(entry, context);
			return;
		}

		this.#store.read(entry, context);
	}

	#onMissing(entry: ClaimEntry, context: Context): void {
		if (entry.phase === 'releasing' && entry.mayBeWritten) {
			// Writes a released object, so that a create still in flight fails with a conflict.
			this.#write(entry, context);
			return;
		}

		this.#onAvailable(entry, context);
	}

	/** No request holds the key. */
	#onAvailable(entry: ClaimEntry, context: Context): void {
		if (entry.phase === 'releasing') {
			this.#settle(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	#onFound(entry: ClaimEntry, object: StoredObject, context: Context): void {
		entry.version = object.version;
		if (object.value === null) {
			this.#onAvailable(entry, context);
			return;
		}

		const parsed = claimObjectSchema.safeParse(object.value);
		if (!parsed.success) {
			this.#onHeldByOther(entry, ErrorKind.ClaimUnavailable, context);
		} else if (parsed.data.requestId === entry.claim.requestId) {
			this.#onFoundOwn(entry, parsed.data, context);
		} else {
			const refusal = toRefusal(
				parsed.data,
				entry.claim,
				this.#options.membership.listLive(context.now),
			);
			this.#onHeldByOther(entry, refusal, context);
		}
	}

	#onFoundOwn(entry: ClaimEntry, found: ClaimObject, context: Context): void {
		const isConfirmed =
			entry.phase === 'claiming' ||
			(entry.phase === 'completing' && found.ending !== undefined);
		if (isConfirmed) {
			this.#onConfirmed(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	/** Another request holds the key. */
	#onHeldByOther(
		entry: ClaimEntry,
		refusal: ErrorKind,
		context: Context,
	): void {
		this.#notifyListener(entry, refusal, context);
		this.#settle(entry, context);
	}

	#refuseTimedOut(entry: ClaimEntry, context: Context): void {
		const {listener} = entry;
		entry.listener = undefined;
		this.release(entry, context);
		listener?.(ErrorKind.ClaimUnavailable, context);
	}

	#notifyListener(
		entry: ClaimEntry,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		const {listener} = entry;
		entry.listener = undefined;
		listener?.(refusal, context);
	}

	#settle(entry: ClaimEntry, context: Context): void {
		this.#store.cancelOperation(entry);
		this.#onSettled(entry, context);
	}
}
