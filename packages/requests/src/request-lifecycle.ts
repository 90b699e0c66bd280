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
	mayHaveRun,
	isRetryable,
	toErrorKind,
	toReportedKind,
} from './attempt-outcome.js';
import {CancelledAttempts} from './cancelled-attempts.js';
import {ClaimStep} from './claim-step.js';
import {CustomerTable} from './customer-table.js';
import {EndReporter} from './end-reporter.js';
import {maximumAttempts} from './limits.js';
import {toTimeoutKind, type LiveRequest} from './live-request.js';
import {PlacementStep} from './placement-step.js';
import {RateAdmission} from './rate-admission.js';
import {checkArrival} from './request-checks.js';
import {RouteTable} from './route-table.js';
import type {Safeguards} from './safeguards.js';

export type RequestLifecycleOptions = {
	readonly configuration: ConfigurationView;
	readonly budgets: Budgets;
	readonly router: Router;
	readonly claims: Claims;
	readonly safeguards: Safeguards;
};

/**
 * Runs each request through rate admission, claim, placement and attempts until
 * it ends exactly once.
 */
export class RequestLifecycle {
	readonly #requests = new Map<RequestId, LiveRequest>();
	readonly #options: RequestLifecycleOptions;
	readonly #customers = new CustomerTable();
	readonly #endReporter = new EndReporter();
	readonly #placement: PlacementStep;
	readonly #cancelledAttempts: CancelledAttempts;
	readonly #rateAdmission: RateAdmission;
	readonly #claimStep: ClaimStep;
	#routes: RouteTable | undefined;
	#isStopping = false;

	constructor(options: RequestLifecycleOptions) {
		this.#options = options;
		this.#cancelledAttempts = new CancelledAttempts(options.router);
		this.#rateAdmission = new RateAdmission(
			options.budgets,
			this.#customers,
			(request, refusal, context) => {
				this.#onRateDecided(request, refusal, context);
			},
		);
		this.#placement = new PlacementStep({
			...options,
			customers: this.#customers,
			onRefused: (request, refusal, context) => {
				this.#end(request, refusal, context);
			},
			renewToken: (request, context) =>
				this.#rateAdmission.renewToken(request, context),
		});
		this.#claimStep = new ClaimStep(
			options.claims,
			options.safeguards,
			(request, refusal, context) => {
				this.#onClaimDecided(request, refusal, context);
			},
		);
	}

	/** Whether any request or cancelled attempt is still in flight. */
	get isBusy(): boolean {
		return this.#requests.size > 0 || this.#cancelledAttempts.size > 0;
	}

	onConfigurationChanged(configuration: Configuration): void {
		this.#routes = new RouteTable(configuration);
		this.#customers.applyConfiguration(configuration);
		this.#endReporter.applyConfiguration(configuration);
	}

	onArrived(arrival: RequestArrived, context: Context): void {
		if (this.#requests.has(arrival.requestId)) {
			return;
		}

		// Also called here, as the interval between ticks is long compared with shareTimeout.
		this.#rateAdmission.refuseExpired(context);
		if (this.#isStopping) {
			this.#endReporter.refuse(
				arrival,
				this.#routes,
				ErrorKind.Stopping,
				context,
			);
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
			this.#endReporter.refuse(arrival, this.#routes, checked.error, context);
			return;
		}

		this.#requests.set(arrival.requestId, checked.value);
		this.#rateAdmission.admit(checked.value, context);
	}

	onAttemptStarted(event: AttemptStarted, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request?.choice !== undefined && request.attempt === event.attempt) {
			this.#options.router.startAttempt(request.choice, context);
		}
	}

	onAttemptEnded(event: AttemptEnded, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request?.choice === undefined || !this.#isCurrent(request, event)) {
			this.#cancelledAttempts.endAttempt(event, context);
			return;
		}

		this.#options.router.endAttempt(request.choice, event, context);
		request.choice = undefined;
		if (mayHaveRun(event.outcome)) {
			request.mayHaveRun = true;
			request.hasToken &&= !this.#options.safeguards.chargeRetries;
		}

		if (event.outcome === 'answered') {
			this.#placement.onAnswered(request, context.now);
		}

		this.#endOrRetry(request, event, context);
		this.#placement.serve(request.route.pool, context);
	}

	onCancelled(event: RequestCancelled, context: Context): void {
		const request = this.#requests.get(event.requestId);
		if (request !== undefined) {
			this.#end(request, ErrorKind.CallerGone, context);
		}
	}

	onBudgetChanged(budgetId: string, context: Context): void {
		this.#rateAdmission.retryWaiting(budgetId, context);
	}

	onCapacityChanged(pool: string, context: Context): void {
		this.#placement.serve(pool, context);
	}

	onTick(context: Context): void {
		for (const request of this.#requests.values()) {
			const isExpired = request.deadline <= context.now;
			if (isExpired || this.#placement.willMissDeadline(request, context.now)) {
				this.#end(request, toTimeoutKind(request.stage), context);
			}
		}

		this.#rateAdmission.refuseExpired(context);
		this.#cancelledAttempts.endExpired(context);
		this.#placement.serveAll(context);
	}

	/** Refuses further requests, and ends the open ones with a response before the host stops. */
	onIntakeClosed(deadline = Number.POSITIVE_INFINITY): void {
		this.#isStopping = true;
		for (const request of this.#requests.values()) {
			request.deadline = Math.min(request.deadline, deadline);
		}
	}

	#isCurrent(request: LiveRequest, event: AttemptEnded): boolean {
		return (
			request.attempt === event.attempt ||
			!this.#options.safeguards.ignoreOldAttempts
		);
	}

	#onRateDecided(
		request: LiveRequest,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		if (refusal === undefined) {
			this.#claimStep.acquire(request, context);
			return;
		}

		this.#end(request, refusal, context);
	}

	#onClaimDecided(
		request: LiveRequest,
		refusal: ErrorKind | undefined,
		context: Context,
	): void {
		if (!this.#requests.has(request.arrival.requestId)) {
			return;
		}

		if (refusal === undefined) {
			this.#placement.place(request, context);
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
			isRetryable(request, event, safeguards) &&
			router.takeRetry(request.route, context)
		) {
			this.#rateAdmission.admit(request, context);
			return;
		}

		this.#end(request, toErrorKind(event.outcome), context);
	}

	/** Releases everything that the request holds and reports its end, once. */
	#end(
		request: LiveRequest,
		kind: ErrorKind | undefined,
		context: Context,
	): void {
		const {requestId} = request.arrival;
		if (!this.#requests.delete(requestId)) {
			return;
		}

		this.#rateAdmission.remove(request);
		this.#placement.remove(request);
		if (request.choice !== undefined) {
			const {attempt, choice} = request;
			this.#cancelledAttempts.cancel(requestId, attempt, choice, context);
			request.choice = undefined;
			// A cancelled attempt may still execute, so its token counts as spent.
			request.mayHaveRun = true;
			request.hasToken = false;
		}

		this.#rateAdmission.returnToken(request, context);
		this.#claimStep.releaseOrComplete(request, context);
		const reportedKind = toReportedKind(
			kind,
			request,
			this.#options.safeguards,
		);
		this.#endReporter.report(request, reportedKind, context);
	}
}
