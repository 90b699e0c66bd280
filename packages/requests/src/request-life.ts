import type {
	AttemptEnded,
	AttemptStarted,
	Budgets,
	Choice,
	Claims,
	ConfigurationView,
	Context,
	RequestArrived,
	RequestCancelled,
	Router,
} from '@parsleyvale/kernel';
import {
	ErrorKind,
	type Configuration,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import {
	isPossiblyRun,
	isRepeatable,
	toKind,
	toTrueKind,
} from './attempt-ending.js';
import {CancelledAttempts} from './cancelled-attempts.js';
import {ClaimStep} from './claim-step.js';
import {CustomerTable} from './customer-table.js';
import {maximumAttempts} from './limits.js';
import type {LiveRequest, Stage} from './live-request.js';
import {PlaceQueue, type Turn} from './place-queue.js';
import {RateAdmission} from './rate-admission.js';
import {checkArrival, identifyCustomer} from './request-checks.js';
import {RequestMetrics} from './request-metrics.js';
import {RouteTable} from './route-table.js';
import type {Safeguards} from './safeguards.js';

export type RequestLifeOptions = {
	readonly configuration: ConfigurationView;
	readonly budgets: Budgets;
	readonly router: Router;
	readonly claims: Claims;
	readonly safeguards: Safeguards;
};

/** Kinds of a request whose deadline passes before it was ever sent. */
const kindsOfWaiting: Readonly<Record<Stage, ErrorKind>> = {
	rate: ErrorKind.ShareUnavailable,
	claim: ErrorKind.ClaimUnavailable,
	place: ErrorKind.NoRoom,
	attempt: ErrorKind.DeadlineExceeded,
};

/** Takes each request through rate, claim, place and attempts to its one end. */
export class RequestLife {
	readonly #requests = new Map<RequestId, LiveRequest>();
	readonly #options: RequestLifeOptions;
	readonly #customers = new CustomerTable();
	readonly #metrics = new RequestMetrics();
	readonly #queue = new PlaceQueue(this.#customers);
	readonly #cancelled: CancelledAttempts;
	readonly #rate: RateAdmission;
	readonly #claim: ClaimStep;
	#routes: RouteTable | undefined;
	#isStopping = false;

	constructor(options: RequestLifeOptions) {
		this.#options = options;
		this.#cancelled = new CancelledAttempts(options.router);
		this.#rate = new RateAdmission(
			options.budgets,
			this.#customers,
			(request, refusal, context) => {
				this.#onAdmitted(request, refusal, context);
			},
		);
		this.#claim = new ClaimStep(
			options.claims,
			options.safeguards,
			(request, refusal, context) => {
				this.#onClaimed(request, refusal, context);
			},
		);
	}

	/** Whether requests or cancelled attempts are not over yet. */
	get isBusy(): boolean {
		return this.#requests.size > 0 || this.#cancelled.size > 0;
	}

	onConfigurationChanged(configuration: Configuration): void {
		this.#routes = new RouteTable(configuration);
		this.#customers.apply(configuration);
		this.#metrics.apply(configuration);
	}

	onArrived(arrival: RequestArrived, context: Context): void {
		if (this.#requests.has(arrival.requestId)) {
			return;
		}

		if (this.#isStopping) {
			this.#refuseAtOnce(arrival, ErrorKind.Stopping, context);
			return;
		}

		const {configuration} = this.#options;
		const checked = checkArrival(
			configuration,
			this.#routes,
			arrival,
			context.now,
		);
		if (checked.isErr) {
			this.#refuseAtOnce(arrival, checked.error, context);
			return;
		}

		this.#requests.set(arrival.requestId, checked.value);
		this.#rate.take(checked.value, context);
	}

	onAttemptStarted(event: AttemptStarted, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request?.choice !== undefined && request.attempt === event.attempt) {
			this.#options.router.start(request.choice, context);
		}
	}

	onAttemptEnded(event: AttemptEnded, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request?.choice === undefined || !this.#isCurrent(request, event)) {
			this.#cancelled.end(event, context);
			return;
		}

		this.#options.router.end(request.choice, event, context);
		request.choice = undefined;
		if (isPossiblyRun(event.outcome)) {
			request.mayHaveRun = true;
			request.hasToken &&= !this.#options.safeguards.countsRetries;
		}

		this.#endOrRetry(request, event, context);
		this.#serve(request.route.pool, context);
	}

	onCancelled(event: RequestCancelled, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request !== undefined) {
			this.#end(request, ErrorKind.CallerGone, context);
		}
	}

	onBudgetChanged(budgetId: string, context: Context): void {
		this.#rate.retry(budgetId, context);
	}

	onRoomChanged(pool: string, context: Context): void {
		this.#serve(pool, context);
	}

	onTick(context: Context): void {
		for (const request of this.#requests.values()) {
			if (request.deadline <= context.now) {
				this.#end(request, kindsOfWaiting[request.stage], context);
			}
		}

		this.#rate.refuseLate(context);
		this.#cancelled.endLate(context);
		this.#queue.serveAll(context, (request) =>
			this.#takeTurn(request, context),
		);
	}

	onStopRequested(): void {
		this.#isStopping = true;
	}

	#isCurrent(request: LiveRequest, event: AttemptEnded): boolean {
		return (
			request.attempt === event.attempt ||
			!this.#options.safeguards.ignoresOldAttempts
		);
	}

	#onAdmitted(
		request: LiveRequest,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		if (refusal === undefined) {
			this.#claim.take(request, context);
			return;
		}

		this.#end(request, refusal, context);
	}

	#onClaimed(
		request: LiveRequest,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		if (!this.#requests.has(request.arrival.requestId)) {
			return;
		}

		if (refusal === undefined) {
			this.#place(request, context);
			return;
		}

		this.#end(request, refusal, context);
	}

	/** Tries for a place, unless others wait for one already. */
	#place(request: LiveRequest, context: Context): void {
		request.stage = 'place';
		const {pool} = request.route;
		const isKept =
			this.#options.safeguards.keepsTurn && this.#queue.isWaiting(pool);
		if (!isKept && this.#takeTurn(request, context) === 'served') {
			return;
		}

		const refused = this.#queue.add(request);
		if (refused !== undefined) {
			this.#end(refused, ErrorKind.NoRoom, context);
		}
	}

	#serve(pool: string, context: Context): void {
		this.#queue.serve(pool, context, (request) =>
			this.#takeTurn(request, context),
		);
	}

	#takeTurn(request: LiveRequest, context: Context): Turn {
		const refusal = this.#checkAgain(request, context.now);
		if (refusal !== undefined) {
			this.#end(request, refusal, context);
			return 'served';
		}

		const chosen = this.#options.router.choose(
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

		this.#end(request, chosen.error, context);
		return 'served';
	}

	/** What may have changed while the request waited: its time and its key. */
	#checkAgain(request: LiveRequest, now: Milliseconds): ErrorKind | undefined {
		if (request.deadline <= now) {
			return kindsOfWaiting[request.stage];
		}

		if (!this.#options.safeguards.checksKeyAgain) {
			return undefined;
		}

		const {route, arrival, customer} = request;
		const {configuration} = this.#options;
		const found = identifyCustomer(configuration, route, arrival.keyHash, now);
		if (found.isErr) {
			return found.error;
		}

		return found.value === customer ? undefined : ErrorKind.KeyUnknown;
	}

	#forward(request: LiveRequest, choice: Choice, context: Context): void {
		request.stage = 'attempt';
		request.attempt++;
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

	#endOrRetry(
		request: LiveRequest,
		event: AttemptEnded,
		context: Context,
	): void {
		const {router, safeguards} = this.#options;
		if (
			request.attempt < maximumAttempts &&
			request.deadline > context.now &&
			isRepeatable(request, event, safeguards) &&
			router.takeRetry(request.route, context)
		) {
			this.#rate.take(request, context);
			return;
		}

		this.#end(request, toKind(event.outcome), context);
	}

	/** Gives back all that the request holds and tells its one end. */
	#end(
		request: LiveRequest,
		kind: ErrorKind | undefined,
		context: Context,
	): void {
		const {requestId} = request.arrival;
		if (!this.#requests.delete(requestId)) {
			return;
		}

		this.#rate.remove(request);
		this.#queue.remove(request);
		if (request.choice !== undefined) {
			const {attempt, choice} = request;
			this.#cancelled.cancel(requestId, attempt, choice, context);
			request.choice = undefined;
			// A cancelled attempt may run on: its token is spent.
			request.mayHaveRun = true;
			request.hasToken = false;
		}

		this.#rate.giveBack(request, context);
		this.#claim.end(request, context);
		const trueKind = toTrueKind(kind, request, this.#options.safeguards);
		this.#tellEnd(request, trueKind, context);
	}

	#refuseAtOnce(
		arrival: RequestArrived,
		kind: ErrorKind,
		context: Context,
	): void {
		const route = this.#routes?.getLongest(arrival.path);
		// Not identified: its label is that of customers without their own.
		const measured = {route, customer: '', arrivedAt: context.now};
		this.#tellEnd({...measured, arrival}, kind, context);
	}

	#tellEnd(
		request: Parameters<RequestMetrics['observe']>[0] & {
			readonly arrival: RequestArrived;
		},
		kind: ErrorKind | undefined,
		context: Context,
	): void {
		const {requestId} = request.arrival;
		if (kind !== undefined) {
			context.emit({type: 'refuse', requestId, kind, retryAfter: undefined});
		}

		this.#metrics.observe(request, kind, context);
		context.raise({type: 'request-ended', requestId, kind});
	}
}
