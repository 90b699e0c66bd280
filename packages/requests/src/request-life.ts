import type {
	AttemptEnded,
	AttemptStarted,
	Budgets,
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
import {EndReport} from './end-report.js';
import {maximumAttempts} from './limits.js';
import {toKindOfWaiting, type LiveRequest} from './live-request.js';
import {PlaceStep} from './place-step.js';
import {RateAdmission} from './rate-admission.js';
import {checkArrival} from './request-checks.js';
import {RouteTable} from './route-table.js';
import type {Safeguards} from './safeguards.js';

export type RequestLifeOptions = {
	readonly configuration: ConfigurationView;
	readonly budgets: Budgets;
	readonly router: Router;
	readonly claims: Claims;
	readonly safeguards: Safeguards;
};

/** Takes each request through rate, claim, place and attempts to its one end. */
export class RequestLife {
	readonly #requests = new Map<RequestId, LiveRequest>();
	readonly #options: RequestLifeOptions;
	readonly #customers = new CustomerTable();
	readonly #report = new EndReport();
	readonly #place: PlaceStep;
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
		this.#place = new PlaceStep({
			...options,
			customers: this.#customers,
			onRefused: (request, refusal, context) => {
				this.#end(request, refusal, context);
			},
			renewToken: (request, context) => this.#rate.renew(request, context),
		});
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
		this.#report.apply(configuration);
	}

	onArrived(arrival: RequestArrived, context: Context): void {
		if (this.#requests.has(arrival.requestId)) {
			return;
		}

		// Ticks are too far apart for a wait of a few milliseconds.
		this.#rate.refuseLate(context);
		if (this.#isStopping) {
			this.#report.refuse(arrival, this.#routes, ErrorKind.Stopping, context);
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
			this.#report.refuse(arrival, this.#routes, checked.error, context);
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

		if (event.outcome === 'answered') {
			this.#place.onAnswered(request, context.now);
		}

		this.#endOrRetry(request, event, context);
		this.#place.serve(request.route.pool, context);
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
		this.#place.serve(pool, context);
	}

	onTick(context: Context): void {
		for (const request of this.#requests.values()) {
			const isLate = request.deadline <= context.now;
			if (isLate || this.#place.isUseless(request, context.now)) {
				this.#end(request, toKindOfWaiting(request.stage), context);
			}
		}

		this.#rate.refuseLate(context);
		this.#cancelled.endLate(context);
		this.#place.serveAll(context);
	}

	onIntakeClosed(): void {
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
			this.#place.take(request, context);
			return;
		}

		this.#end(request, refusal, context);
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
		this.#place.remove(request);
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
		this.#report.end(request, trueKind, context);
	}
}
