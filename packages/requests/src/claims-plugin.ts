import {
	Claims,
	Plugin,
	claimsKey,
	membershipKey,
	type Claim,
	type ClaimListener,
	type Context,
	type Kernel,
} from '@parsleyvale/kernel';
import {ClaimLedger} from './claim-ledger.js';
import {HostClaims} from './host-claims.js';
import {findKeyOwner} from './key-owner.js';
import {allSafeguards, type Safeguards} from './safeguards.js';

export type ClaimsOptions = {
	/**
	 * Protections to leave out, for tests that must fail without them.
	 *
	 * @internal
	 */
	readonly safeguards?: Partial<Safeguards>;
};

/** Sends each claim to where its key is remembered. */
class FleetClaims extends Claims {
	readonly #stored: ClaimLedger;
	readonly #remembered: HostClaims;

	constructor(stored: ClaimLedger, remembered: HostClaims) {
		super();
		this.#stored = stored;
		this.#remembered = remembered;
	}

	claim(claim: Claim, onClaimed: ClaimListener, context: Context): void {
		const owner = findKeyOwner(claim.idempotencyKey);
		if (owner === undefined) {
			this.#stored.add(claim, onClaimed, context);
			return;
		}

		this.#remembered.add(claim, owner, onClaimed, context);
	}

	release(claim: Claim, context: Context): void {
		const owner = findKeyOwner(claim.idempotencyKey);
		if (owner === undefined) {
			this.#stored.release(claim, context);
			return;
		}

		this.#remembered.release(claim, owner, context);
	}

	complete(claim: Claim, _context: Context): void {
		const owner = findKeyOwner(claim.idempotencyKey);
		if (owner === undefined) {
			this.#stored.complete(claim);
			return;
		}

		this.#remembered.complete(claim, owner);
	}
}

class ClaimsPlugin extends Plugin {
	readonly #safeguards: Safeguards;
	#ledger: ClaimLedger | undefined;
	#remembered: HostClaims | undefined;

	constructor(options: ClaimsOptions) {
		super();
		this.#safeguards = {...allSafeguards, ...options.safeguards};
	}

	get name(): string {
		return 'claims';
	}

	override isBusy(): boolean {
		return [this.#ledger, this.#remembered].some((claims) => claims?.isBusy);
	}

	install(kernel: Kernel): void {
		const options = {
			self: kernel.self,
			membership: kernel.inject(membershipKey),
			safeguards: this.#safeguards,
		};
		const ledger = new ClaimLedger(options);
		const remembered = new HostClaims(options);
		this.#ledger = ledger;
		this.#remembered = remembered;
		kernel.provide(claimsKey, new FleetClaims(ledger, remembered));
		kernel.on('peer-message', (event, context) => {
			remembered.onPeerMessage(event, context);
		});
		kernel.on('object-written', (event, context) => {
			ledger.onWritten(event, context);
		});
		kernel.on('object-read', (event, context) => {
			ledger.onRead(event, context);
		});
		kernel.on('request-ended', (event, context) => {
			ledger.onRequestEnded(event, context);
			remembered.onRequestEnded(event, context);
		});
		kernel.on('tick', (_event, context) => {
			ledger.onTick(context);
			remembered.onTick(context);
		});
	}
}

/**
 * Claims on Idempotency-Keys: one object per key in the platform's store, or, for
 * keys that name an entry host, that host's memory. Needs membership before.
 *
 * @example
 * kernel.use(createMembership()).use(createClaims());
 */
export function createClaims(options: ClaimsOptions = {}): Plugin {
	return new ClaimsPlugin(options);
}
