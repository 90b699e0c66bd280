import type {
	Claim,
	ClaimListener,
	Context,
	Membership,
	ObjectRead,
	ObjectWritten,
	RequestEnded,
	StoredObject,
} from '@parsleyvale/kernel';
import {
	ErrorKind,
	type EntryHost,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import {createClaimEntry, type ClaimEntry} from './claim-entry.js';
import {
	claimObjectSchema,
	toClaimName,
	type ClaimObject,
} from './claim-object.js';
import {ClaimStore} from './claim-store.js';
import {
	claimRetryInterval,
	claimTimeout,
	maximumUnsettledClaims,
} from './limits.js';
import {RetainedClaims} from './retained-claims.js';
import type {Safeguards} from './safeguards.js';

export type ClaimLedgerOptions = {
	readonly self: EntryHost;
	readonly membership: Membership;
	readonly safeguards: Safeguards;
};

/** The claims of this host that the store has not settled yet. */
export class ClaimLedger {
	readonly #entries = new Map<string, ClaimEntry>();
	readonly #entriesByRequest = new Map<RequestId, ClaimEntry>();
	readonly #options: ClaimLedgerOptions;
	readonly #store: ClaimStore;
	readonly #retained: RetainedClaims;

	constructor(options: ClaimLedgerOptions) {
		this.#options = options;
		this.#store = new ClaimStore(options.self.incarnation);
		this.#retained = new RetainedClaims(options.self.incarnation);
	}

	/** Whether the store has still to be told of an ending. */
	get isBusy(): boolean {
		return this.#entries.size > 0;
	}

	/** Asks for a claim; the listener hears once. */
	add(claim: Claim, listener: ClaimListener, context: Context): void {
		const name = toClaimName(claim, this.#options.safeguards.scopesClaims);
		const earlier = this.#entries.get(name);
		if (earlier !== undefined) {
			listener(this.#toLocalRefusal(earlier, claim), context);
			return;
		}

		if (this.#entries.size >= maximumUnsettledClaims) {
			listener(ErrorKind.ClaimUnavailable, context);
			return;
		}

		const entry = createClaimEntry(name, claim, listener, context.now);
		this.#entries.set(name, entry);
		this.#entriesByRequest.set(claim.requestId, entry);
		this.#write(entry, context);
	}

	/** Gives up a claim whose request did not run; others' are left alone. */
	release(claim: Claim, context: Context): void {
		const entry = this.#entriesByRequest.get(claim.requestId);
		if (entry === undefined) {
			return;
		}

		entry.listener = undefined;
		this.#abandon(entry, context);
	}

	/** Keeps a claim whose request may have run. */
	complete(claim: Claim): void {
		const entry = this.#entriesByRequest.get(claim.requestId);
		if (entry?.phase === 'held') {
			entry.phase = 'completing';
		}
	}

	/** Tells the store how the request of a claim ended. */
	onRequestEnded(event: RequestEnded, context: Context): void {
		const entry = this.#entriesByRequest.get(event.requestId);
		if (entry?.phase === 'completing') {
			entry.ending = event.kind === undefined ? 'answered' : 'unknown';
			this.#write(entry, context);
		}
	}

	onWritten(event: ObjectWritten, context: Context): void {
		if (this.#retained.onWritten(event, context.now)) {
			return;
		}

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

	onTick(context: Context): void {
		for (const entry of this.#entries.values()) {
			this.#retry(entry, context);
		}

		this.#retained.removeOld(context);
	}

	/** What a repeat at the same host hears. */
	#toLocalRefusal(entry: ClaimEntry, claim: Claim): ErrorKind {
		if (entry.claim.fingerprint !== claim.fingerprint) {
			return ErrorKind.IdempotencyKeyReused;
		}

		if (entry.phase === 'releasing') {
			return ErrorKind.ClaimUnavailable;
		}

		return entry.phase === 'completing'
			? toEndedKind(entry.ending)
			: ErrorKind.DuplicateInProgress;
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
				this.#retained.add(entry.name, entry.version, context.now);
				this.#remove(entry);
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
			this.#remove(entry);
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
			const refusal = this.#toRefusal(parsed.data, entry.claim, context.now);
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
		this.#remove(entry);
	}

	#toRefusal(found: ClaimObject, claim: Claim, now: Milliseconds): ErrorKind {
		if (found.fingerprint !== claim.fingerprint) {
			return ErrorKind.IdempotencyKeyReused;
		}

		if (found.ending !== undefined) {
			return toEndedKind(found.ending);
		}

		const isLive = this.#options.membership
			.listLive(now)
			.some(
				(member) =>
					member.name === found.holder.name &&
					member.incarnation === found.holder.incarnation,
			);
		return isLive ? ErrorKind.DuplicateInProgress : ErrorKind.OutcomeUnknown;
	}

	/** The request will not be sent: makes sure that no claim of it stays. */
	#abandon(entry: ClaimEntry, context: Context): void {
		const isPending = entry.phase === 'claiming';
		entry.mayBeWritten ||= entry.operationId !== undefined;
		entry.phase = 'releasing';
		if (isPending && !entry.mayBeWritten) {
			this.#remove(entry);
			return;
		}

		if (isPending) {
			this.#store.read(entry, context);
			return;
		}

		this.#write(entry, context);
	}

	#retry(entry: ClaimEntry, context: Context): void {
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

	#refuseLate(entry: ClaimEntry, context: Context): void {
		const {listener} = entry;
		entry.listener = undefined;
		this.#abandon(entry, context);
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

	#remove(entry: ClaimEntry): void {
		this.#store.cancel(entry);
		this.#entries.delete(entry.name);
		this.#entriesByRequest.delete(entry.claim.requestId);
	}
}

function toEndedKind(ending: ClaimObject['ending']): ErrorKind {
	return ending === 'answered'
		? ErrorKind.DuplicateCompleted
		: ErrorKind.OutcomeUnknown;
}
