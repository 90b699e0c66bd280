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
import {StoredClaims} from './stored-claims.js';
import {HostKeyClaims} from './host-claims.js';
import {parseKeyOwner} from './key-owner.js';
import {allSafeguards, type Safeguards} from './safeguards.js';

export type ClaimsOptions = {
	/**
	 * Safeguards to disable, for tests that verify that each one is needed.
	 *
	 * @internal
	 */
	readonly safeguards?: Partial<Safeguards>;
};

/**
 * Dispatches each claim by its key: to the store, or to the entry host that the
 * key names.
 */
class ClaimDispatcher extends Claims {
	readonly #storedClaims: StoredClaims;
	readonly #hostKeyClaims: HostKeyClaims;

	constructor(storedClaims: StoredClaims, hostKeyClaims: HostKeyClaims) {
		super();
		this.#storedClaims = storedClaims;
		this.#hostKeyClaims = hostKeyClaims;
	}

	claim(claim: Claim, onClaimed: ClaimListener, context: Context): void {
		const owner = parseKeyOwner(claim.idempotencyKey);
		if (owner === undefined) {
			this.#storedClaims.add(claim, onClaimed, context);
			return;
		}

		this.#hostKeyClaims.add(claim, owner, onClaimed, context);
	}

	release(claim: Claim, context: Context): void {
		const owner = parseKeyOwner(claim.idempotencyKey);
		if (owner === undefined) {
			this.#storedClaims.release(claim, context);
			return;
		}

		this.#hostKeyClaims.release(claim, owner, context);
	}

	complete(claim: Claim, _context: Context): void {
		const owner = parseKeyOwner(claim.idempotencyKey);
		if (owner === undefined) {
			this.#storedClaims.complete(claim);
			return;
		}

		this.#hostKeyClaims.complete(claim, owner);
	}
}

class ClaimsPlugin extends Plugin {
	readonly #safeguards: Safeguards;
	#storedClaims: StoredClaims | undefined;
	#hostKeyClaims: HostKeyClaims | undefined;

	constructor(options: ClaimsOptions) {
		super();
		this.#safeguards = {...allSafeguards, ...options.safeguards};
	}

	get name(): string {
		return 'claims';
	}

	override isBusy(): boolean {
		return [this.#storedClaims, this.#hostKeyClaims].some(
			(claims) => claims?.isBusy,
		);
	}

	install(kernel: Kernel): void {
		const options = {
			self: kernel.self,
			membership: kernel.inject(membershipKey),
			safeguards: this.#safeguards,
		};
		const storedClaims = new StoredClaims(options);
		const hostKeyClaims = new HostKeyClaims(options);
		this.#storedClaims = storedClaims;
		this.#hostKeyClaims = hostKeyClaims;
		kernel.provide(claimsKey, new ClaimDispatcher(storedClaims, hostKeyClaims));
		kernel.on('peer-message', (event, context) => {
			hostKeyClaims.onPeerMessage(event, context);
		});
		kernel.on('object-written', (event, context) => {
			storedClaims.onWritten(event, context);
		});
		kernel.on('object-read', (event, context) => {
			storedClaims.onRead(event, context);
		});
		kernel.on('request-ended', (event, context) => {
			storedClaims.onRequestEnded(event, context);
			hostKeyClaims.onRequestEnded(event, context);
		});
		kernel.on('tick', (_event, context) => {
			storedClaims.onTick(context);
			hostKeyClaims.onTick(context);
		});
	}
}

/**
 * Claims on Idempotency-Keys. A claim is one object in the platform's store or,
 * for keys that name an entry host, an entry in the memory of that host. Requires
 * the membership plug-in to be installed first.
 *
 * @example
 * kernel.use(createMembership()).use(createClaims());
 */
export function createClaims(options: ClaimsOptions = {}): Plugin {
	return new ClaimsPlugin(options);
}
