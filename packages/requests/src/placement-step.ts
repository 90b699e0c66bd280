import type {
	Choice,
	ConfigurationView,
	Context,
	Router,
} from '@parsleyvale/kernel';
import {ErrorKind, type Milliseconds} from '@parsleyvale/shared';
import {AttemptDurations} from './attempt-durations.js';
import type {CustomerTable} from './customer-table.js';
import {toTimeoutKind, type LiveRequest} from './live-request.js';
import {PlacementQueue, type PlacementResult} from './placement-queue.js';
import type {StepListener} from './rate-admission.js';
import {identifyCustomer} from './request-checks.js';
import type {Safeguards} from './safeguards.js';

export type PlacementStepOptions = {
	readonly configuration: ConfigurationView;
	readonly router: Router;
	readonly customers: CustomerTable;
	readonly safeguards: Safeguards;
	readonly onRefused: StepListener;
	/**
	 * Makes sure that the request holds a token taken now. Returns false if none is
	 * available and the request waits for one.
	 */
	readonly renewToken: (request: LiveRequest, context: Context) => boolean;
};

/**
 * Chooses a backend server for each attempt and forwards it. Requests that find
 * no capacity wait in a fair queue.
 */
export class PlacementStep {
	readonly #options: PlacementStepOptions;
	readonly #queue: PlacementQueue;
	readonly #durations = new AttemptDurations();

	constructor(options: PlacementStepOptions) {
		this.#options = options;
		this.#queue = new PlacementQueue(options.customers);
	}

	/** Places a request at once, or queues it behind those that already wait. */
	place(request: LiveRequest, context: Context): void {
		request.stage = 'place';
		const {pool} = request.route;
		const {safeguards, onRefused} = this.#options;
		const mustWait = safeguards.keepQueueOrder && this.#queue.hasWaiting(pool);
		if (!mustWait && this.#tryPlace(request, context) === 'served') {
			return;
		}

		if (this.willMissDeadline(request, context.now)) {
			onRefused(request, ErrorKind.NoRoom, context);
			return;
		}

		const evicted = this.#queue.add(request);
		if (evicted !== undefined) {
			onRefused(evicted, ErrorKind.NoRoom, context);
		}
	}

	/** Tries to place the requests that wait for capacity in the pool. */
	serve(pool: string, context: Context): void {
		this.#queue.serve(pool, context, (request) =>
			this.#tryPlace(request, context),
		);
	}

	/** Tries to place the waiting requests of all pools. */
	serveAll(context: Context): void {
		this.#queue.serveAll(context, (request) =>
			this.#tryPlace(request, context),
		);
	}

	/** Whether a waiting request can no longer be answered before its deadline. */
	willMissDeadline(request: LiveRequest, now: Milliseconds): boolean {
		const {route, deadline, stage} = request;
		return (
			stage === 'place' &&
			this.#durations.willMissDeadline(route.pool, deadline, now)
		);
	}

	/** Records how long the answered attempt took. */
	onAnswered(request: LiveRequest, now: Milliseconds): void {
		this.#durations.add(request.route.pool, now - request.forwardedAt);
	}

	/** Removes a request that ended while it waited. */
	remove(request: LiveRequest): void {
		this.#queue.remove(request);
	}

	#tryPlace(request: LiveRequest, context: Context): PlacementResult {
		const {router, safeguards, onRefused, renewToken} = this.#options;
		const refusal = this.#revalidate(request, context.now);
		if (refusal !== undefined) {
			onRefused(request, refusal, context);
			return 'served';
		}

		if (safeguards.renewTokens && !renewToken(request, context)) {
			return 'served';
		}

		const chosen = router.chooseServer(
			{
				requestId: request.arrival.requestId,
				route: request.route,
				customer: request.customer,
				bodyBytes: request.arrival.bodyBytes,
				deadline: request.deadline,
				triedServers: request.triedServers,
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

	/** Checks again what can change while a request waits: its deadline and key. */
	#revalidate(request: LiveRequest, now: Milliseconds): ErrorKind | undefined {
		if (request.deadline <= now) {
			return toTimeoutKind(request.stage);
		}

		const {configuration, safeguards} = this.#options;
		if (!safeguards.recheckKey) {
			return undefined;
		}

		const {route, arrival, customer} = request;
		const identified = identifyCustomer(
			configuration,
			route,
			arrival.keyHash,
			now,
		);
		if (identified.isErr) {
			return identified.error;
		}

		return identified.value === customer ? undefined : ErrorKind.KeyUnknown;
	}

	#forward(request: LiveRequest, choice: Choice, context: Context): void {
		request.stage = 'attempt';
		request.attempt++;
		request.forwardedAt = context.now;
		request.choice = choice;
		request.triedServers.push(choice.server.name);
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
