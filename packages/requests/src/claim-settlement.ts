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

export type SettlementOptions = {
	readonly self: EntryHost;
	readonly membership: Membership;
	readonly safeguards: Safeguards;
};

export type SettledListener = (entry: ClaimEntry, context: Context) => void;

/** Brings the store to hold what each claim's phase asks for. */
export class ClaimSettlement {
	readonly #options: SettlementOptions;
	readonly #store: ClaimStore;
	readonly #onSettled: SettledListener;

	constructor(options: SettlementOptions, onSettled: SettledListener) {
		this.#options = options;
		this.#store = new ClaimStore(options.self.incarnation);
		this.#onSettled = onSettled;
	}

	/** Begins with the first call of the entry's phase. */
	start(entry: ClaimEntry, context: Context): void {
		this.#write(entry, context);
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const entry = this.#store.end(event.operationId);
		if (entry === undefined) {
			return;
		}

		switch (event.result.kind) {
			case 'written': {
				entry.version = event.result.version;
				this.#onOwned(entry, context);
				break;
			}

			case 'conflict': {
				this.#onConflict(entry, context);
				break;
			}

			case 'unknown': {
				entry.mayBeWritten = true;
				this.#onLostAnswer(entry, context);
				break;
			}

			case 'failed': {
				// The next tick tries again.
				break;
			}
		}
	}

	onRead(event: ObjectRead, context: Context): void {
		const entry = this.#store.end(event.operationId);
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

	/** The request will not be sent: makes sure that no claim of it stays. */
	abandon(entry: ClaimEntry, context: Context): void {
		const isPending = entry.phase === 'claiming';
		entry.mayBeWritten ||= entry.operationId !== undefined;
		entry.phase = 'releasing';
		if (isPending && !entry.mayBeWritten) {
			this.#settle(entry, context);
			return;
		}

		if (isPending) {
			this.#store.read(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	/** Goes on with what got no useful answer. */
	retry(entry: ClaimEntry, context: Context): void {
		const age = context.now - entry.claimedAt;
		if (entry.phase === 'claiming' && age >= claimTimeout) {
			this.#refuseLate(entry, context);
			return;
		}

		const isDue = context.now - entry.calledAt >= claimRetryInterval;
		if (entry.phase === 'held' || !isDue || entry.operationId !== undefined) {
			return;
		}

		if (entry.mayBeWritten) {
			this.#store.read(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	/** Writes what the store has to hold in the entry's phase. */
	#write(entry: ClaimEntry, context: Context): void {
		const {self} = this.#options;
		const value: ClaimObject = {
			requestId: entry.claim.requestId,
			holder: {name: self.name, incarnation: self.incarnation},
			fingerprint: entry.claim.fingerprint,
			ending: entry.ending,
		};
		const isGivenUp = entry.phase === 'releasing';
		this.#store.write(entry, isGivenUp ? null : value, context);
	}

	/** The object is as the entry's phase wants it. */
	#onOwned(entry: ClaimEntry, context: Context): void {
		entry.mayBeWritten = false;
		switch (entry.phase) {
			case 'claiming': {
				entry.phase = 'held';
				this.#answer(entry, undefined, context);
				break;
			}

			case 'completing':
			case 'releasing': {
				entry.isOwned = true;
				this.#settle(entry, context);
				break;
			}

			case 'held': {
				break;
			}
		}
	}

	#onConflict(entry: ClaimEntry, context: Context): void {
		if (!this.#options.safeguards.respectsClaims) {
			this.#onOwned(entry, context);
			return;
		}

		this.#store.read(entry, context);
	}

	#onLostAnswer(entry: ClaimEntry, context: Context): void {
		if (!this.#options.safeguards.readsBack) {
			this.#onOwned(entry, context);
			return;
		}

		this.#store.read(entry, context);
	}

	#onMissing(entry: ClaimEntry, context: Context): void {
		if (entry.phase === 'releasing' && entry.mayBeWritten) {
			// A create that is still on its way must find the version taken.
			this.#write(entry, context);
			return;
		}

		this.#onFree(entry, context);
	}

	/** No claim stands in the way. */
	#onFree(entry: ClaimEntry, context: Context): void {
		if (entry.phase === 'releasing') {
			this.#settle(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	#onFound(entry: ClaimEntry, object: StoredObject, context: Context): void {
		entry.version = object.version;
		if (object.value === null) {
			this.#onFree(entry, context);
			return;
		}

		const parsed = claimObjectSchema.safeParse(object.value);
		if (!parsed.success) {
			this.#onForeign(entry, ErrorKind.ClaimUnavailable, context);
		} else if (parsed.data.requestId === entry.claim.requestId) {
			this.#onFoundOwn(entry, parsed.data, context);
		} else {
			const refusal = toRefusal(
				parsed.data,
				entry.claim,
				this.#options.membership.listLive(context.now),
			);
			this.#onForeign(entry, refusal, context);
		}
	}

	#onFoundOwn(entry: ClaimEntry, found: ClaimObject, context: Context): void {
		const isSettled =
			entry.phase === 'claiming' ||
			(entry.phase === 'completing' && found.ending !== undefined);
		if (isSettled) {
			this.#onOwned(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	/** Another request has the key. */
	#onForeign(entry: ClaimEntry, refusal: ErrorKind, context: Context): void {
		this.#answer(entry, refusal, context);
		this.#settle(entry, context);
	}

	#refuseLate(entry: ClaimEntry, context: Context): void {
		const {listener} = entry;
		entry.listener = undefined;
		this.abandon(entry, context);
		listener?.(ErrorKind.ClaimUnavailable, context);
	}

	#answer(
		entry: ClaimEntry,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		const {listener} = entry;
		entry.listener = undefined;
		listener?.(refusal, context);
	}

	#settle(entry: ClaimEntry, context: Context): void {
		this.#store.cancel(entry);
		this.#onSettled(entry, context);
	}
}
