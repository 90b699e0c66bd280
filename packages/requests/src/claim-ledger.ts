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
import {toClaimName} from './claim-object.js';
import {toLocalRefusal} from './claim-refusal.js';
import {ClaimSettlement, type SettlementOptions} from './claim-settlement.js';
import {maximumUnsettledClaims} from './limits.js';
import {RetainedClaims} from './retained-claims.js';

/** The claims of this host that the store has not settled yet. */
export class ClaimLedger {
	readonly #entries = new Map<string, ClaimEntry>();
	readonly #entriesByRequest = new Map<RequestId, ClaimEntry>();
	readonly #options: SettlementOptions;
	readonly #settlement: ClaimSettlement;
	readonly #retained: RetainedClaims;

	constructor(options: SettlementOptions) {
		this.#options = options;
		this.#settlement = new ClaimSettlement(options, (entry, context) => {
			this.#onSettled(entry, context);
		});
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
			listener(toLocalRefusal(earlier, claim), context);
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

	/** Gives up a claim whose request did not run; others' are left alone. */
	release(claim: Claim, context: Context): void {
		const entry = this.#entriesByRequest.get(claim.requestId);
		if (entry === undefined) {
			return;
		}

		entry.listener = undefined;
		this.#settlement.abandon(entry, context);
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
			this.#settlement.start(entry, context);
		}
	}

	onWritten(event: ObjectWritten, context: Context): void {
		if (!this.#retained.onWritten(event, context.now)) {
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

		this.#retained.removeOld(context);
	}

	/** The store holds what it has to hold of the entry. */
	#onSettled(entry: ClaimEntry, context: Context): void {
		this.#entries.delete(entry.name);
		this.#entriesByRequest.delete(entry.claim.requestId);
		if (entry.isOwned && entry.version > 0) {
			this.#retained.add(entry.name, entry.version, context.now);
		}
	}
}
