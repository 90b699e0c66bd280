import type {
	Choice,
	ConfigurationView,
	Context,
	Router,
} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {AttemptDurations} from './attempt-durations.js';
import type {CustomerTable} from './customer-table.js';
import {toKindOfWaiting, type LiveRequest} from './live-request.js';
import {PlaceQueue, type Turn} from './place-queue.js';
import type {RequestListener} from './rate-admission.js';
import {identifyCustomer} from './request-checks.js';
import type {Safeguards} from './safeguards.js';

export type PlaceStepOptions = {
	readonly configuration: ConfigurationView;
	readonly router: Router;
	readonly customers: CustomerTable;
	readonly safeguards: Safeguards;
	readonly onRefused: RequestListener;
	/** Sees to a token that counts now; false: the request waits for one. */
	readonly renewToken: (request: LiveRequest, context: Context) => boolean;
};

/** Finds a place for each attempt and forwards it, in fair turns. */
export class PlaceStep {
	readonly #options: PlaceStepOptions;
	readonly #queue: PlaceQueue;
	readonly #durations = new AttemptDurations();

	constructor(options: PlaceStepOptions) {
		this.#options = options;
		this.#queue = new PlaceQueue(options.customers);
	}

	/** Tries for a place, unless others wait for one already. */
	take(request: LiveRequest, context: Context): void {
		request.stage = 'place';
		const {pool} = request.route;
		const {safeguards, onRefused} = this.#options;
		const isKept = safeguards.keepsTurn && this.#queue.isWaiting(pool);
		if (!isKept && this.#takeTurn(request, context) === 'served') {
			return;
		}

		if (this.isUseless(request, context.now)) {
			onRefused(request, ErrorKind.NoRoom, context);
			return;
		}

		const refused = this.#queue.add(request);
		if (refused !== undefined) {
			onRefused(refused, ErrorKind.NoRoom, context);
		}
	}

	/** Gives turns to the requests that wait for the pool. */
	serve(pool: string, context: Context): void {
		this.#queue.serve(pool, context, (request) =>
			this.#takeTurn(request, context),
		);
	}

	serveAll(context: Context): void {
		this.#queue.serveAll(context, (request) =>
			this.#takeTurn(request, context),
		);
	}

	/** Whether a request that waits cannot be answered in time any more. */
	isUseless(request: LiveRequest, now: Milliseconds): boolean {
		const {route, deadline, stage} = request;
		return (
			stage === 'place' && this.#durations.isTooLate(route.pool, deadline, now)
		);
	}

	/** Learns how long answers take. */
	onAnswered(request: LiveRequest, now: Milliseconds): void {
		this.#durations.add(request.route.pool, now - request.forwardedAt);
	}

	/** Forgets a request that ended while it waited. */
	remove(request: LiveRequest): void {
		this.#queue.remove(request);
	}

	#takeTurn(request: LiveRequest, context: Context): Turn {
		const {router, safeguards, onRefused, renewToken} = this.#options;
		const refusal = this.#checkAgain(request, context.now);
		if (refusal !== undefined) {
			onRefused(request, refusal, context);
			return 'served';
		}

		if (safeguards.renewsTokens && !renewToken(request, context)) {
			return 'served';
		}

		const chosen = router.choose(
			{
				requestId: request.arrival.requestId,
				route: request.route,
				customer: request.customer,
				bodyBytes: request.arrival.bodyBytes,
				deadline: request.deadline,
				avoid: request.avoid,
			},
			context,
		);
		if (chosen.isOk) {
			this.#forward(request, chosen.value, context);
			return 'served';
		}

		if (chosen.error === ErrorKind.NoRoom) {
			return 'no-room';
		}

		onRefused(request, chosen.error, context);
		return 'served';
	}

	/** What may have changed while the request waited: its time and its key. */
	#checkAgain(request: LiveRequest, now: Milliseconds): ErrorKind | undefined {
		if (request.deadline <= now) {
			return toKindOfWaiting(request.stage);
		}

		const {configuration, safeguards} = this.#options;
		if (!safeguards.checksKeyAgain) {
			return undefined;
		}

		const {route, arrival, customer} = request;
		const found = identifyCustomer(configuration, route, arrival.keyHash, now);
		if (found.isErr) {
			return found.error;
		}

		return found.value === customer ? undefined : ErrorKind.KeyUnknown;
	}

	#forward(request: LiveRequest, choice: Choice, context: Context): void {
		request.stage = 'attempt';
		request.attempt++;
		request.forwardedAt = context.now;
		request.choice = choice;
		request.avoid.push(choice.server.name);
		context.emit({
			type: 'forward',
			requestId: request.arrival.requestId,
			attempt: request.attempt,
			server: choice.server,
			route: request.route,
			customer: request.customer,
			deadline: request.deadline,
		});
	}
}
