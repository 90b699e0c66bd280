import {
	ErrorKind,
	getErrorResponse,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import type {CrashGuard} from '../crashes/crash-guard.js';
import type {HostState} from '../host-state.js';
import type {SteeringArrival, SteeringAttemptEnded} from '../event.js';
import type {Limits} from '../limits.js';
import {RetryDelays} from '../queueing/retry-delays.js';
import {WaitLimits} from '../queueing/wait-limits.js';
import type {Placement, Placer, PlacementFailure} from '../placement/placer.js';
import {computeRetryParts} from '../limits/repeat-budget.js';
import {TrafficSplit} from '../traffic-split.js';
import type {SteeringContext} from '../types.js';
import type {ServerState} from '../servers/server-state.js';
import {FairOrder} from '../queueing/fair-order.js';
import {RequestQueue} from '../queueing/request-queue.js';
import {
	logRateLimitChange,
	logUnreadableRateLimit,
	RequestLog,
	type ArrivalRefusal,
} from './request-log.js';
import type {LiveRequest} from './live-request.js';
import {Admission} from './admission.js';
import {LoadShedding} from './load-shedding.js';
import {OverloadLog} from './overload-log.js';

/** Attempts after which a request is refused if servers reject it or are unreachable. */
const maximumServersTried = 4;

export type RequestLifecycleOptions = {
	readonly hostState: HostState;
	readonly limits: Limits;
	readonly placer: Placer;
	readonly crashGuard: CrashGuard;
};

/** Drives each request through admission, placement and attempts to its single outcome. */
export class RequestLifecycle {
	readonly #options: RequestLifecycleOptions;
	readonly #requests = new Map<RequestId, LiveRequest>();
	readonly #queue: RequestQueue;
	readonly #shedding: LoadShedding;
	readonly #retryDelays: RetryDelays;
	readonly #overloadLog: OverloadLog;
	readonly #admission: Admission;
	readonly #log: RequestLog;
	readonly #waitLimits: WaitLimits;

	constructor(options: RequestLifecycleOptions) {
		this.#options = options;
		const {hostState, placer} = options;
		this.#admission = new Admission(hostState, new TrafficSplit());
		this.#log = new RequestLog(hostState);
		this.#waitLimits = new WaitLimits(
			placer.processingTimes,
			hostState.settings.random,
		);
		const {headroom} = placer;
		const order = new FairOrder(headroom.slotTimes);
		this.#queue = new RequestQueue(order);
		this.#overloadLog = new OverloadLog(headroom, this.#queue);
		this.#retryDelays = new RetryDelays(
			placer.processingTimes,
			this.#queue,
			hostState.settings.random,
		);
		this.#shedding = new LoadShedding({
			hostState,
			headroom,
			order,
			queue: this.#queue,
			waitLimits: this.#waitLimits,
		});
	}

	get isBusy(): boolean {
		return this.#requests.size > 0;
	}

	onArrived(arrival: SteeringArrival, context: SteeringContext): void {
		const {now} = context;
		this.#options.hostState.requestRate.onRequest(now);
		const admitted = this.#admission.admit(arrival, now);
		if (admitted.isErr) {
			this.#refuseArrival(arrival, admitted.error, {}, context);
			return;
		}

		const request = admitted.value;
		const {customer, service} = request;
		const {limits, crashGuard} = this.#options;
		const blockedFor = crashGuard.tryAdmit(request.identity, now);
		if (blockedFor !== undefined) {
			this.#refuseArrival(
				arrival,
				ErrorKind.RequestBlocked,
				{customer: customer?.name, retryAfter: blockedFor},
				context,
			);
			return;
		}

		const {rates, retries} = limits;
		const retryAfter = customer && rates.tryTake(customer, now);
		if (retryAfter !== undefined) {
			this.#refuseArrival(
				arrival,
				ErrorKind.RateExceeded,
				{customer: customer?.name, retryAfter},
				context,
			);
			return;
		}

		retries.onRequest(service, this.#countRetryParts(now), now);
		this.#requests.set(arrival.requestId, request);
		this.#shedding.onArrived(request, now);
		this.#placeOrQueue(request, context);
	}

	/** From here on, the request is not sent to another server. */
	onAnswerStarted(requestId: RequestId, attempt: number): void {
		const request = this.#requests.get(requestId);
		if (request?.attempt === attempt) {
			request.isAnswerStarted = true;
			const {placement} = request;
			placement?.state.onAnswerStarted(placement.inFlightRequest);
		}
	}

	onAttemptEnded(ended: SteeringAttemptEnded, context: SteeringContext): void {
		const request = this.#requests.get(ended.requestId);
		if (request?.placement === undefined || request.attempt !== ended.attempt) {
			return;
		}

		const {placement} = request;
		request.placement = undefined;
		this.#shedding.onAttemptEnded(request, placement, ended, context.now);
		const isEjected = this.#options.placer.onAttemptEnded(
			placement,
			request.route,
			ended,
			context.now,
		);
		this.#applyRateLimit(placement, ended, context);
		this.#queue.onCompleted(request.service, context.now);
		const {fingerprint} = request.arrival;
		const endedAttempt = {placement, fingerprint, isEjected};
		this.#log.onAttemptEnded(endedAttempt, ended, context);
		this.#updateCrashGuard(request, placement, ended, context.now);
		this.#handleOutcome(request, ended, context);
		this.#dispatchWaiting(request.service, context, placement.state);
	}

	onCancelled(requestId: RequestId, context: SteeringContext): void {
		const request = this.#requests.get(requestId);
		if (request !== undefined) {
			const freed = request.placement?.state;
			this.#cancelAttempt(request, context);
			this.#remove(request, context);
			this.#log.onEnded(request, ErrorKind.CallerGone, context);
			this.#dispatchWaiting(request.service, context, freed);
		}
	}

	/** Ends the open requests before the host stops, with a response. */
	onStopRequested(): void {
		const {deadline} = this.#options.hostState.stopSchedule;
		for (const request of this.#requests.values()) {
			request.deadline = Math.min(request.deadline, deadline);
		}
	}

	onTick(context: SteeringContext): void {
		const {now} = context;
		for (const request of this.#requests.values()) {
			if (now >= request.deadline) {
				this.#onDeadline(request, context);
			} else if (this.#isWaitingBlocked(request, now)) {
				this.#refuse(request, ErrorKind.RequestBlocked, context);
			} else if (this.#isOverdue(request, now)) {
				this.#reroute(request, context);
			} else if (this.#waitLimits.cannotMeetObjective(request, now)) {
				this.#refuse(request, ErrorKind.NoRoom, context);
			}
		}

		this.dispatchAllWaiting(context);
		this.#overloadLog.onTick(context);
	}

	/** Places waiting requests of all services where capacity has become free. */
	dispatchAllWaiting(context: SteeringContext): void {
		for (const service of this.#queue.services) {
			this.#refuseOverdue(service, context);
			this.#dispatchWaiting(service, context);
		}
	}

	#dispatchWaiting(
		service: string,
		context: SteeringContext,
		freed?: ServerState,
	): void {
		if (this.#shedding.isEnabled) {
			this.#dispatchInOrder(service, context, freed);
			return;
		}

		// Requests that are placed are removed from the list during iteration.
		for (const request of this.#queue.list(service)) {
			this.#tryPlace(request, context);
		}
	}

	#dispatchInOrder(
		service: string,
		context: SteeringContext,
		freed: ServerState | undefined,
	): void {
		const {now} = context;
		const pass = this.#shedding.createPass(freed, now);
		for (const request of this.#shedding.listInOrder(service, now)) {
			const isFailed =
				pass.shouldTry(request) &&
				this.#tryPlace(request, context) !== undefined;
			if (isFailed) {
				pass.onFailed(request);
			}
		}
	}

	#refuseOverdue(service: string, context: SteeringContext): void {
		if (this.#shedding.isEnabled) {
			for (const request of this.#shedding.listOverdue(service, context.now)) {
				this.#refuse(request, ErrorKind.NoRoom, context);
			}
		}
	}

	#placeOrQueue(request: LiveRequest, context: SteeringContext): void {
		if (this.#isWaitingBlocked(request, context.now)) {
			this.#refuse(request, ErrorKind.RequestBlocked, context);
			return;
		}

		const failure = this.#shedding.mustWait(request)
			? {kind: ErrorKind.NoRoom, timeUntilCached: undefined}
			: this.#tryPlace(request, context);
		if (failure === undefined) {
			return;
		}

		if (!this.#shouldQueue(request, failure, context.now)) {
			this.#refuse(request, this.#toRefusalKind(request, failure), context);
			return;
		}

		request.waitingSince = context.now;
		this.#queue.add(request);
	}

	/** Another host has room for a request that only lacks time because this one is stopping. */
	#toRefusalKind({deadline}: LiveRequest, {kind}: PlacementFailure): ErrorKind {
		const isLimitedByStop =
			deadline === this.#options.hostState.stopSchedule.deadline;
		return kind === ErrorKind.NoRoom && isLimitedByStop
			? ErrorKind.Stopping
			: kind;
	}

	#shouldQueue(
		request: LiveRequest,
		{kind, timeUntilCached}: PlacementFailure,
		now: Milliseconds,
	): boolean {
		return (
			timeUntilCached !== undefined ||
			(kind === ErrorKind.NoRoom &&
				this.#queue.computeQueueTime(request, now) <=
					this.#waitLimits.computeMaximumQueueTime(request))
		);
	}

	#tryPlace(
		request: LiveRequest,
		context: SteeringContext,
	): PlacementFailure | undefined {
		const {route, triedServers, arrival} = request;
		const {bodyBytes} = arrival;
		const chosen = this.#options.placer.choose(
			{...request, bodyBytes},
			context.now,
		);
		if (chosen.isErr) {
			const {timeUntilCached} = chosen.error;
			request.cachedAt =
				timeUntilCached === undefined
					? undefined
					: context.now + timeUntilCached;
			return chosen.error;
		}

		const placement = chosen.value;
		this.#queue.remove(request);
		request.placement = placement;
		request.attempt += 1;
		triedServers.add(placement.state.server.id);
		this.#shedding.onPlaced(request, context.now);
		this.#log.onPlaced(request, context);
		request.waitingSince = undefined;
		context.emit({
			type: 'forward',
			requestId: arrival.requestId,
			attempt: request.attempt,
			server: placement.state.server,
			customer: request.customer?.name,
			deadline: request.deadline,
			isIdempotent: route.isIdempotent,
		});
		return undefined;
	}

	#updateCrashGuard(
		{identity}: LiveRequest,
		{state}: Placement,
		{outcome, status = 0, wasConnectionLost}: SteeringAttemptEnded,
		now: Milliseconds,
	): void {
		const {crashGuard} = this.#options;
		if (wasConnectionLost) {
			crashGuard.onConnectionLost(identity, state.server, now);
		} else if (outcome === 'answered' || outcome === 'not-run') {
			crashGuard.onServerResponded(state.server, now);
		}

		if (outcome === 'answered' && status < 500) {
			crashGuard.onAnswered(identity, now);
		}
	}

	/** Whether the request is at no server and may not be sent to one. */
	#isWaitingBlocked(
		{placement, identity}: LiveRequest,
		now: Milliseconds,
	): boolean {
		return (
			placement === undefined &&
			this.#options.crashGuard.isBlocked(identity, now)
		);
	}

	#applyRateLimit(
		{state, inFlightRequest}: Placement,
		{outcome, rateLimit}: SteeringAttemptEnded,
		context: SteeringContext,
	): void {
		if (rateLimit === undefined) {
			if (outcome === 'answered' || outcome === 'not-run') {
				logUnreadableRateLimit(state, context);
			}
		} else if (
			state.onRateLimitReported(rateLimit, inFlightRequest, context.now)
		) {
			logRateLimitChange(state, context);
		}
	}

	/** Delivers the answer, starts another attempt, or refuses the request. */
	#handleOutcome(
		request: LiveRequest,
		ended: SteeringAttemptEnded,
		context: SteeringContext,
	): void {
		const {outcome, isAnswerBuffered, isReplayable, status = 0} = ended;
		if (outcome === 'answered') {
			const isFailure = status >= 500;
			request.possibleRuns += 1;
			if (
				isAnswerBuffered &&
				isFailure &&
				isReplayable &&
				this.#canRetry(request) &&
				this.#retry(request, context)
			) {
				return;
			}

			this.#deliver(request, ended, context);
			return;
		}

		if (outcome === 'unknown') {
			request.possibleRuns += 1;
			const isRetried =
				isReplayable &&
				this.#canRetry(request) &&
				this.#retry(request, context);
			if (!isRetried) {
				this.#refuse(request, ErrorKind.OutcomeUnknown, context);
			}

			return;
		}

		// An attempt that reached no server does not count against the retry budget.
		const isNotSent = outcome === 'not-sent';
		const mayRetry =
			outcome !== 'not-run' ||
			this.#options.placer.mayRetryShed(request.service, context.now);
		if (!isReplayable || !mayRetry || request.attempt >= maximumServersTried) {
			this.#refuse(request, ErrorKind.ServerRefused, context);
		} else if (isNotSent || this.#takeRetry(request, context.now)) {
			this.#placeOrQueue(request, context);
		} else {
			this.#refuse(request, ErrorKind.ServerRefused, context);
		}
	}

	/** Whether the request may run on one more server. */
	#canRetry({route, possibleRuns, identity}: LiveRequest): boolean {
		return (
			route.isIdempotent &&
			possibleRuns < route.maximumAttempts &&
			this.#options.crashGuard.mayRetry(identity)
		);
	}

	#retry(request: LiveRequest, context: SteeringContext): boolean {
		if (!this.#takeRetry(request, context.now)) {
			return false;
		}

		if (this.#tryPlace(request, context) === undefined) {
			return true;
		}

		this.#options.limits.retries.refund(request.service);
		return false;
	}

	#takeRetry({service}: LiveRequest, now: Milliseconds): boolean {
		return this.#options.limits.retries.take(
			service,
			this.#countRetryParts(now),
			now,
		);
	}

	#countRetryParts(now: Milliseconds): number {
		const {members, requestRate} = this.#options.hostState;
		const ownRate = requestRate.computePerSecond(now);
		return computeRetryParts(
			this.#options.hostState.isActive(now),
			members.listActive(ownRate).length + 1,
			members.listShareHolders(now).length + 1,
		);
	}

	#deliver(
		request: LiveRequest,
		{attempt, isAnswerBuffered, status}: SteeringAttemptEnded,
		context: SteeringContext,
	): void {
		this.#remove(request, context);
		const {requestId} = request.arrival;
		if (isAnswerBuffered) {
			context.emit({type: 'deliver', requestId, attempt});
		}

		const outcome = (status ?? 0) < 500 ? 'answered' : 'failed at server';
		this.#log.onEnded(request, outcome, context);
	}

	#onDeadline(request: LiveRequest, context: SteeringContext): void {
		const wasSent = request.placement !== undefined || request.possibleRuns > 0;
		if (request.placement !== undefined) {
			this.#cancelAttempt(request, context);
			request.possibleRuns += 1;
		}

		const kind = wasSent ? ErrorKind.DeadlineExceeded : ErrorKind.NoRoom;
		this.#refuse(request, kind, context);
	}

	#isOverdue(request: LiveRequest, now: Milliseconds): boolean {
		const {placement, route} = request;
		const tailTime =
			placement && this.#options.placer.findTailTime(placement, route);
		return this.#waitLimits.isOverdue(request, tailTime, now);
	}

	/** Sends an overdue request to another server if one has capacity, and cancels the first attempt. */
	#reroute(request: LiveRequest, context: SteeringContext): void {
		const {placement, attempt, arrival} = request;
		if (placement === undefined || !arrival.isBodyBuffered) {
			return;
		}

		request.placement = undefined;
		if (this.#retry(request, context)) {
			request.possibleRuns += 1;
			this.#options.placer.onOverdue(placement, request.route, context.now);
			const {requestId} = request.arrival;
			context.emit({type: 'cancel-attempt', requestId, attempt});
		} else {
			request.placement = placement;
		}
	}

	#cancelAttempt(request: LiveRequest, context: SteeringContext): void {
		const {placement, attempt, arrival} = request;
		if (placement !== undefined) {
			request.placement = undefined;
			placement.state.onCancelled(placement.inFlightRequest);
			const {requestId} = arrival;
			context.emit({type: 'cancel-attempt', requestId, attempt});
		}
	}

	#refuse(
		request: LiveRequest,
		kind: ErrorKind,
		context: SteeringContext,
	): void {
		// A request that may have run must not be reported as not run.
		const isMisleading =
			getErrorResponse(kind).notRun && request.possibleRuns > 0;
		const reportedKind = isMisleading ? ErrorKind.OutcomeUnknown : kind;
		this.#remove(request, context);
		if (request.possibleRuns === 0 && request.customer !== undefined) {
			this.#options.limits.rates.refund(request.customer);
		}

		context.emit({
			type: 'refuse',
			requestId: request.arrival.requestId,
			kind: reportedKind,
			retryAfter: this.#computeRetryAfter(request, reportedKind, context.now),
		});
		this.#log.onEnded(request, reportedKind, context);
		if (this.#shedding.isEnabled) {
			this.#overloadLog.onRefused(request, reportedKind, context);
		}
	}

	#computeRetryAfter(
		request: LiveRequest,
		kind: ErrorKind,
		now: Milliseconds,
	): Milliseconds | undefined {
		const isOverloaded =
			kind === ErrorKind.NoRoom || kind === ErrorKind.ServerRefused;
		return isOverloaded && this.#shedding.isEnabled
			? this.#retryDelays.compute(request, now)
			: this.#waitLimits.computeRetryAfter(kind);
	}

	#refuseArrival(
		arrival: SteeringArrival,
		kind: ErrorKind,
		refusal: Partial<ArrivalRefusal>,
		context: SteeringContext,
	): void {
		const {requestId} = arrival;
		const retryAfter =
			refusal.retryAfter ?? this.#waitLimits.computeRetryAfter(kind);
		context.emit({type: 'refuse', requestId, kind, retryAfter});
		const {customer} = refusal;
		this.#log.onArrivalRefused(arrival, kind, {customer, retryAfter}, context);
	}

	#remove(request: LiveRequest, {now}: SteeringContext): void {
		this.#requests.delete(request.arrival.requestId);
		this.#queue.remove(request);
		this.#shedding.onEnded(request, now);
	}
}
