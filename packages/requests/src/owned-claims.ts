import type {Membership, PeerIdentity} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import type {ClaimQuestion} from './claim-messages.js';
import type {ClaimObject} from './claim-object.js';
import {toRefusal} from './claim-refusal.js';
import type {Safeguards} from './safeguards.js';
import {maximumOwnedClaims, ownedKeyLifetime} from './limits.js';

type OwnedClaim = {
	readonly claim: ClaimObject;
	readonly removeAt: Milliseconds;
};

/** The claims on keys that name this process; its memory decides alone. */
export class OwnedClaims {
	readonly #claims = new Map<string, OwnedClaim>();
	readonly #membership: Membership;
	readonly #refusesOldKeys: boolean;

	constructor(membership: Membership, safeguards: Safeguards) {
		this.#membership = membership;
		this.#refusesOldKeys = safeguards.refusesOldKeys;
	}

	/** Does what a holder asks. Repeats of a question change nothing. */
	handle(
		question: ClaimQuestion,
		holder: PeerIdentity,
		now: Milliseconds,
	): ErrorKind | undefined {
		const found = this.#claims.get(question.name)?.claim;
		if (question.kind === 'claim') {
			return found === undefined
				? this.#grant(question, holder, now)
				: this.#compare(found, question, now);
		}

		if (found?.requestId !== question.requestId) {
			return undefined;
		}

		if (question.kind === 'release') {
			this.#claims.delete(question.name);
		} else {
			this.#set(question.name, {...found, ending: question.ending}, now);
		}

		return undefined;
	}

	/** Forgets claims whose time is over. */
	removeOld(now: Milliseconds): void {
		for (const [name, {removeAt}] of this.#claims) {
			if (removeAt > now) {
				return;
			}

			this.#claims.delete(name);
		}
	}

	#grant(
		question: Extract<ClaimQuestion, {kind: 'claim'}>,
		holder: PeerIdentity,
		now: Milliseconds,
	): ErrorKind | undefined {
		const age = now - question.issuedAt;
		if (age < 0 || (age >= ownedKeyLifetime && this.#refusesOldKeys)) {
			// An older key may have been claimed and forgotten.
			return ErrorKind.OutcomeUnknown;
		}

		// To forget one early would let its request run again.
		if (this.#claims.size >= maximumOwnedClaims) {
			return ErrorKind.ClaimUnavailable;
		}

		const {requestId, fingerprint} = question;
		this.#set(question.name, {requestId, holder, fingerprint}, now);
		return undefined;
	}

	#compare(
		found: ClaimObject,
		question: Extract<ClaimQuestion, {kind: 'claim'}>,
		now: Milliseconds,
	): ErrorKind | undefined {
		return found.requestId === question.requestId
			? undefined
			: toRefusal(found, question, this.#membership.listLive(now));
	}

	/** Sets a claim last in the order of removal. */
	#set(name: string, claim: ClaimObject, now: Milliseconds): void {
		this.#claims.delete(name);
		this.#claims.set(name, {claim, removeAt: now + ownedKeyLifetime});
	}
}
