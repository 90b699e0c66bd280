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
import {allSafeguards, type Safeguards} from './safeguards.js';

export type ClaimsOptions = {
	/**
	 * Protections to leave out, for tests that must fail without them.
	 *
	 * @internal
	 */
	readonly safeguards?: Partial<Safeguards>;
};

class StoreClaims extends Claims {
	readonly #ledger: ClaimLedger;

	constructor(ledger: ClaimLedger) {
		super();
		this.#ledger = ledger;
	}

	claim(claim: Claim, onClaimed: ClaimListener, context: Context): void {
		this.#ledger.add(claim, onClaimed, context);
	}

	release(claim: Claim, context: Context): void {
		this.#ledger.release(claim, context);
	}

	complete(claim: Claim, _context: Context): void {
		this.#ledger.complete(claim);
	}
}

class ClaimsPlugin extends Plugin {
	readonly #safeguards: Safeguards;
	#ledger: ClaimLedger | undefined;

	constructor(options: ClaimsOptions) {
		super();
		this.#safeguards = {...allSafeguards, ...options.safeguards};
	}

	get name(): string {
		return 'claims';
	}

	override isBusy(): boolean {
		return this.#ledger?.isBusy ?? false;
	}

	install(kernel: Kernel): void {
		const ledger = new ClaimLedger({
			self: kernel.self,
			membership: kernel.inject(membershipKey),
			safeguards: this.#safeguards,
		});
		this.#ledger = ledger;
		kernel.provide(claimsKey, new StoreClaims(ledger));
		kernel.on('object-written', (event, context) => {
			ledger.onWritten(event, context);
		});
		kernel.on('object-read', (event, context) => {
			ledger.onRead(event, context);
		});
		kernel.on('request-ended', (event, context) => {
			ledger.onRequestEnded(event, context);
		});
		kernel.on('tick', (_event, context) => {
			ledger.onTick(context);
		});
	}
}

/**
 * Claims on Idempotency-Keys, kept as one object per key in the platform's
 * store. Needs membership installed before.
 *
 * @example
 * kernel.use(createMembership()).use(createClaims());
 */
export function createClaims(options: ClaimsOptions = {}): Plugin {
	return new ClaimsPlugin(options);
}
