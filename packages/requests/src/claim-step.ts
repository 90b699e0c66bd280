import type {Claim, Claims, Context} from '@parsleyvale/kernel';
import type {LiveRequest} from './live-request.js';
import type {RequestListener} from './rate-admission.js';
import type {Safeguards} from './safeguards.js';

/** Scope of keys on open routes; `/` is in no customer's name. */
const openScope = 'open/';

function createClaim(request: LiveRequest): Claim | undefined {
	const {idempotencyKey, requestId, fingerprint, callerAddress} =
		request.arrival;
	if (request.route.idempotent || idempotencyKey === undefined) {
		return undefined;
	}

	return {
		requestId,
		customer: request.customer ?? `${openScope}${callerAddress}`,
		idempotencyKey,
		fingerprint,
	};
}

/** Gets the claim of a non-idempotent request and settles it at the end. */
export class ClaimStep {
	readonly #claims: Claims;
	readonly #safeguards: Safeguards;
	readonly #onClaimed: RequestListener;

	constructor(
		claims: Claims,
		safeguards: Safeguards,
		onClaimed: RequestListener,
	) {
		this.#claims = claims;
		this.#safeguards = safeguards;
		this.#onClaimed = onClaimed;
	}

	/** Goes on when the request needs no claim or has been granted it. */
	take(request: LiveRequest, context: Context): void {
		request.stage = 'claim';
		request.claim ??= createClaim(request);
		if (request.claim === undefined || request.isClaimed) {
			this.#onClaimed(request, undefined, context);
			return;
		}

		this.#claims.claim(
			request.claim,
			(refusal, later) => {
				request.isClaimed = refusal === undefined;
				this.#onClaimed(request, refusal, later);
			},
			context,
		);
		if (!this.#safeguards.claimsFirst && request.stage === 'claim') {
			request.isClaimed = true;
			this.#onClaimed(request, undefined, context);
		}
	}

	/** Releases the claim of what surely did not run; the others stay for good. */
	end(request: LiveRequest, context: Context): void {
		if (request.claim === undefined) {
			return;
		}

		if (request.mayHaveRun && this.#safeguards.releasesOnlyWhatDidNotRun) {
			this.#claims.complete(request.claim, context);
			return;
		}

		this.#claims.release(request.claim, context);
	}
}
