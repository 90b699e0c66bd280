import type {Membership, PeerIdentity} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import type {ClaimCommand} from './claim-messages.js';
import type {ClaimObject} from './claim-object.js';
import {toRefusal} from './claim-refusal.js';
import type {Safeguards} from './safeguards.js';
import {maximumLocalKeyClaims, hostKeyLifetime} from './limits.js';

type LocalKeyClaim = {
	readonly claim: ClaimObject;
	readonly expiresAt: Milliseconds;
};

/** Claims on keys that name this process, for requests on any host; kept in its memory only. */
export class LocalKeyClaims {
	readonly #claims = new Map<string, LocalKeyClaim>();
	readonly #membership: Membership;
	readonly #refuseExpiredKeys: boolean;

	constructor(membership: Membership, safeguards: Safeguards) {
		this.#membership = membership;
		this.#refuseExpiredKeys = safeguards.refuseExpiredKeys;
	}

	/** Executes a command of the host that holds the request; commands are idempotent. */
	handle(
		command: ClaimCommand,
		holder: PeerIdentity,
		now: Milliseconds,
	): ErrorKind | undefined {
		const found = this.#claims.get(command.name)?.claim;
		if (command.kind === 'claim') {
			return found === undefined
				? this.#grant(command, holder, now)
				: this.#checkExisting(found, command, now);
		}

		if (found?.requestId !== command.requestId) {
			return undefined;
		}

		if (command.kind === 'release') {
			this.#claims.delete(command.name);
		} else {
			this.#set(command.name, {...found, ending: command.ending}, now);
		}

		return undefined;
	}

	/** Removes expired claims. */
	removeExpired(now: Milliseconds): void {
		for (const [name, {expiresAt}] of this.#claims) {
			if (expiresAt > now) {
				return;
			}

			this.#claims.delete(name);
		}
	}

	#grant(
		command: Extract<ClaimCommand, {kind: 'claim'}>,
		holder: PeerIdentity,
		now: Milliseconds,
	): ErrorKind | undefined {
		const age = now - command.issuedAt;
		if (age < 0 || (age >= hostKeyLifetime && this.#refuseExpiredKeys)) {
			// The claim of an older key may have been removed already.
			return ErrorKind.OutcomeUnknown;
		}

		// Evicting a claim early would let its request run again.
		if (this.#claims.size >= maximumLocalKeyClaims) {
			return ErrorKind.ClaimUnavailable;
		}

		const {requestId, fingerprint} = command;
		this.#set(command.name, {requestId, holder, fingerprint}, now);
		return undefined;
	}

	#checkExisting(
		found: ClaimObject,
		command: Extract<ClaimCommand, {kind: 'claim'}>,
		now: Milliseconds,
	): ErrorKind | undefined {
		return found.requestId === command.requestId
			? undefined
			: toRefusal(found, command, this.#membership.listLive(now));
	}

	/** Stores a claim at the end of the expiry order. */
	#set(name: string, claim: ClaimObject, now: Milliseconds): void {
		this.#claims.delete(name);
		this.#claims.set(name, {claim, expiresAt: now + hostKeyLifetime});
	}
}
