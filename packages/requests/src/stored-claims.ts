import type {
	Claim,
	ClaimListener,
	Context,
	ObjectRead,
	ObjectWritten,
	RequestEnded,
} from '@parsleyvale/kernel';
import {ErrorKind, type RequestId} from '@parsleyvale/shared';
import {createClaimEntry, type ClaimEntry} from './claim-entry.js';
import {toClaimObjectName, toClaimOutcome} from './claim-object.js';
import {toLocalRefusal} from './claim-refusal.js';
import {ClaimSettlement, type ClaimsDependencies} from './claim-settlement.js';
import {maximumUnsettledClaims} from './limits.js';
import {ClaimRemovals} from './claim-removals.js';

/** Claims of this host that are kept in the store, until they are settled. */
export class StoredClaims {
	readonly #entries = new Map<string, ClaimEntry>();
	readonly #entriesByRequest = new Map<RequestId, ClaimEntry>();
	readonly #options: ClaimsDependencies;
	readonly #settlement: ClaimSettlement;
	readonly #removals: ClaimRemovals;

	constructor(options: ClaimsDependencies) {
		this.#options = options;
		this.#settlement = new ClaimSettlement(options, (entry, context) => {
			this.#onSettled(entry, context);
		});
		this.#removals = new ClaimRemovals(options.self.incarnation);
	}

	/** Whether any claim is not settled yet. */
	get isBusy(): boolean {
		return this.#entries.size > 0;
	}

	/** Requests a claim; calls the listener once. */
	add(claim: Claim, listener: ClaimListener, context: Context): void {
		const name = toClaimObjectName(claim, this.#options.safeguards.scopeClaims);
		const existing = this.#entries.get(name);
		if (existing !== undefined) {
			listener(toLocalRefusal(existing, claim), context);
			return;
		}

		if (this.#entries.size >= maximumUnsettledClaims) {
			listener(ErrorKind.ClaimUnavailable, context);
			return;
		}

		const entry = createClaimEntry(name, claim, listener, context.now);
		this.#entries.set(name, entry);
		this.#entriesByRequest.set(claim.requestId, entry);
		this.#settlement.start(entry, context);
	}

	/** Releases the claim of a request that did not run, if it has one. */
	release(claim: Claim, context: Context): void {
		const entry = this.#entriesByRequest.get(claim.requestId);
		if (entry === undefined) {
			return;
		}

		entry.listener = undefined;
		this.#settlement.release(entry, context);
	}

	/** Keeps the claim of a request that may have run; its outcome arrives with `request-ended`. */
	complete(claim: Claim): void {
		const entry = this.#entriesByRequest.get(claim.requestId);
		if (entry?.phase === 'held') {
			entry.phase = 'completing';
		}
	}

	/** Writes the outcome of a completed request to the store. */
	onRequestEnded(event: RequestEnded, context: Context): void {
		const entry = this.#entriesByRequest.get(event.requestId);
		if (entry?.phase === 'completing') {
			entry.outcome = toClaimOutcome(event.kind);
			this.#settlement.start(entry, context);
		}
	}

	onWritten(event: ObjectWritten, context: Context): void {
		if (!this.#removals.onWritten(event, context.now)) {
			this.#settlement.onWritten(event, context);
		}
	}

	onRead(event: ObjectRead, context: Context): void {
		this.#settlement.onRead(event, context);
	}

	onTick(context: Context): void {
		for (const entry of this.#entries.values()) {
			this.#settlement.retry(entry, context);
		}

		this.#removals.removeExpired(context);
	}

	/** The store matches the entry: nothing is left to write. */
	#onSettled(entry: ClaimEntry, context: Context): void {
		this.#entries.delete(entry.name);
		this.#entriesByRequest.delete(entry.claim.requestId);
		if (entry.mustRemove && entry.version > 0) {
			this.#removals.add(entry.name, entry.version, context.now);
		}
	}
}
