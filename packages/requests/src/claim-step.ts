import type {Claim, Claims, Context} from '@parsleyvale/kernel';
import type {LiveRequest} from './live-request.js';
import type {StepListener} from './rate-admission.js';
import type {Safeguards} from './safeguards.js';

/** Scope of keys on public routes; no customer name contains `/`. */
const publicRouteScope = 'open/';

function createClaim(request: LiveRequest): Claim | undefined {
	const {idempotencyKey, requestId, fingerprint, callerAddress} =
		request.arrival;
	if (request.route.idempotent || idempotencyKey === undefined) {
		return undefined;
	}

	return {
		requestId,
		customer: request.customer ?? `${publicRouteScope}${callerAddress}`,
		idempotencyKey,
		fingerprint,
	};
}

/** Acquires the claim of a non-idempotent request, and releases or completes it at the end. */
export class ClaimStep {
	readonly #claims: Claims;
	readonly #safeguards: Safeguards;
	readonly #onDecided: StepListener;

	constructor(claims: Claims, safeguards: Safeguards, onDecided: StepListener) {
		this.#claims = claims;
		this.#safeguards = safeguards;
		this.#onDecided = onDecided;
	}

	/** Acquires the claim, unless the request needs none or already holds it. */
	acquire(request: LiveRequest, context: Context): void {
		request.stage = 'claim';
		request.claim ??= createClaim(request);
		if (request.claim === undefined || request.isClaimed) {
			this.#onDecided(request, undefined, context);
			return;
		}

		this.#claims.claim(
			request.claim,
			(refusal, laterContext) => {
				request.isClaimed = refusal === undefined;
				this.#onDecided(request, refusal, laterContext);
			},
			context,
		);
		if (!this.#safeguards.waitForClaim && request.stage === 'claim') {
			request.isClaimed = true;
			this.#onDecided(request, undefined, context);
		}
	}

	/** Releases the claim if the request certainly did not run; otherwise completes it. */
	releaseOrComplete(request: LiveRequest, context: Context): void {
		if (request.claim === undefined) {
			return;
		}

		if (request.mayHaveRun && this.#safeguards.releaseOnlyIfNotRun) {
			this.#claims.complete(request.claim, context);
			return;
		}

		this.#claims.release(request.claim, context);
	}
}
