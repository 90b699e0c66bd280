import {
	ErrorKind,
	getErrorAnswer,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import {Admission} from './admission.js';
import type {Beliefs} from './beliefs.js';
import type {SteeringArrival, SteeringAttemptEnded} from './event.js';
import type {Limits} from './limits.js';
import type {LiveRequest} from './live-request.js';
import {WaitLimits} from './wait-limits.js';
import type {Placer, PlaceProblem} from './placer.js';
import {RequestLog} from './request-log.js';
import {TrafficSplit} from './split.js';
import type {SteeringContext} from './types.js';
import {RequestQueue} from './request-queue.js';

/** Servers that reject a request, or cannot be reached, before it is refused. */
const mostTries = 4;
export type RequestLifeOptions = {
	readonly beliefs: Beliefs;
	readonly limits: Limits;
	readonly placer: Placer;
};

/** Takes each request through admission, a place and attempts to its one end. */
export class RequestLife {
	readonly #options: RequestLifeOptions;
	readonly #requests = new Map<RequestId, LiveRequest>();
	readonly #waiting = new RequestQueue();
	readonly #admission: Admission;
	readonly #log: RequestLog;
	readonly #waitLimits: WaitLimits;

	constructor(options: RequestLifeOptions) {
		this.#options = options;
		const {beliefs, placer} = options;
		this.#admission = new Admission(beliefs, new TrafficSplit());
		this.#log = new RequestLog(beliefs);
		this.#waitLimits = new WaitLimits(placer.times, beliefs.settings.random);
	}

	get isBusy(): boolean {
		return this.#requests.size > 0;
	}

	onArrived(arrival: SteeringArrival, context: SteeringContext): void {
		const {now} = context;
		this.#options.beliefs.activity.onRequest(now);
		const admitted = this.#admission.admit(arrival, now);
		if (admitted.isErr) {
			this.#refuseArrival(arrival, admitted.error, undefined, context);
			return;
		}

		const request = admitted.value;
		const {customer, service} = request;
		const {rates, repeats} = this.#options.limits;
		const pause = customer && rates.take(customer, now);
		if (pause !== undefined) {
			this.#refuseArrival(arrival, ErrorKind.RateExceeded, pause, context);
			return;
		}

		repeats.onRequest(service, this.#countHosts(now), now);
		this.#requests.set(arrival.requestId, request);
		this.#place(request, context);
	}

	onAttemptEnded(ended: SteeringAttemptEnded, context: SteeringContext): void {
		const request = this.#requests.get(ended.requestId);
		if (request?.place === undefined || request.attempt !== ended.attempt) {
			return;
		}

		const {place} = request;
		request.place = undefined;
		const isEjected = this.#options.placer.end(
			place,
			request.route,
			ended,
			context.now,
		);
		this.#waiting.onServed(request.service, context.now);
		this.#log.onAttemptEnded(place, ended, isEjected, context);
		this.#settle(request, ended, context);
		this.#serve(request.service, context);
	}

	onCancelled(requestId: RequestId, context: SteeringContext): void {
		const request = this.#requests.get(requestId);
		if (request !== undefined) {
			this.#stopAttempt(request, context);
			this.#remove(request);
			this.#log.onEnded(request, ErrorKind.CallerGone, context);
			this.#serve(request.service, context);
		}
	}

	onTick(context: SteeringContext): void {
		const {now} = context;
		for (const request of this.#requests.values()) {
			if (now >= request.deadline) {
				this.#onDeadline(request, context);
			} else if (this.#waitLimits.isOverdue(request, now)) {
				this.#moveOn(request, context);
			} else if (this.#waitLimits.isUseless(request, now)) {
				this.#refuse(request, ErrorKind.NoRoom, context);
			}
		}

		this.serveAll(context);
	}

	/** Gives room that has come free to those who wait. */
	serveAll(context: SteeringContext): void {
		for (const service of this.#waiting.services) {
			this.#serve(service, context);
		}
	}

	#serve(service: string, context: SteeringContext): void {
		// Those that find room leave the list meanwhile.
		for (const request of this.#waiting.list(service)) {
			this.#tryPlace(request, context);
		}
	}

	#place(request: LiveRequest, context: SteeringContext): void {
		const problem = this.#tryPlace(request, context);
		if (problem === undefined) {
			return;
		}

		if (!this.#isWorthWaiting(request, problem, context.now)) {
			this.#refuse(request, problem.kind, context);
			return;
		}

		request.waitingSince = context.now;
		this.#waiting.add(request);
	}

	#isWorthWaiting(
		request: LiveRequest,
		{kind, knownIn}: PlaceProblem,
		now: Milliseconds,
	): boolean {
		return (
			knownIn !== undefined ||
			(kind === ErrorKind.NoRoom &&
				this.#waiting.computeWait(request, now) <=
					this.#waitLimits.computeQueueWait(request))
		);
	}

	#tryPlace(
		request: LiveRequest,
		context: SteeringContext,
	): PlaceProblem | undefined {
		const {route, tried, arrival} = request;
		const {bodyBytes} = arrival;
		const chosen = this.#options.placer.choose(
			{...request, bodyBytes},
			context.now,
		);
		if (chosen.isErr) {
			const {knownIn} = chosen.error;
			request.knownAt =
				knownIn === undefined ? undefined : context.now + knownIn;
			return chosen.error;
		}

		const place = chosen.value;
		this.#waiting.remove(request);
		request.place = place;
		request.attempt += 1;
		tried.add(place.state.server.id);
		this.#log.onPlaced(request, context);
		request.waitingSince = undefined;
		context.emit({
			type: 'forward',
			requestId: arrival.requestId,
			attempt: request.attempt,
			server: place.state.server,
			customer: request.customer?.name,
			deadline: request.deadline,
			isIdempotent: route.isIdempotent,
		});
		return undefined;
	}

	/** The answer, another attempt, or a truthful refusal. */
	#settle(
		request: LiveRequest,
		ended: SteeringAttemptEnded,
		context: SteeringContext,
	): void {
		const {outcome, isHeld, isRepeatable, status = 0} = ended;
		if (outcome === 'answered') {
			const isFailure = status >= 500;
			request.runs += 1;
			if (
				isHeld &&
				isFailure &&
				isRepeatable &&
				this.#canRunAgain(request) &&
				this.#repeat(request, context)
			) {
				return;
			}

			this.#deliver(request, ended, context);
			return;
		}

		if (outcome === 'unknown') {
			request.runs += 1;
			const isAgain =
				isRepeatable &&
				this.#canRunAgain(request) &&
				this.#repeat(request, context);
			if (!isAgain) {
				this.#refuse(request, ErrorKind.OutcomeUnknown, context);
			}

			return;
		}

		// A server that was never reached had no arrival to count.
		const isFree = outcome === 'not-sent';
		if (!isRepeatable || request.attempt >= mostTries) {
			this.#refuse(request, ErrorKind.ServerRefused, context);
		} else if (isFree || this.#takeRepeat(request, context.now)) {
			this.#place(request, context);
		} else {
			this.#refuse(request, ErrorKind.ServerRefused, context);
		}
	}

	/** Whether the request may run at one more server. */
	#canRunAgain({route, runs}: LiveRequest): boolean {
		return route.isIdempotent && runs < route.maximumAttempts;
	}

	#repeat(request: LiveRequest, context: SteeringContext): boolean {
		if (!this.#takeRepeat(request, context.now)) {
			return false;
		}

		if (this.#tryPlace(request, context) === undefined) {
			return true;
		}

		this.#options.limits.repeats.giveBack(request.service);
		return false;
	}

	#takeRepeat({service}: LiveRequest, now: Milliseconds): boolean {
		return this.#options.limits.repeats.take(
			service,
			this.#countHosts(now),
			now,
		);
	}

	#countHosts(now: Milliseconds): number {
		return this.#options.beliefs.members.listHolders(now).length + 1;
	}

	#deliver(
		request: LiveRequest,
		{attempt, isHeld, status}: SteeringAttemptEnded,
		context: SteeringContext,
	): void {
		this.#remove(request);
		const {requestId} = request.arrival;
		if (isHeld) {
			context.emit({type: 'deliver', requestId, attempt});
		}

		const outcome = (status ?? 0) < 500 ? 'answered' : 'failed at server';
		this.#log.onEnded(request, outcome, context);
	}

	#onDeadline(request: LiveRequest, context: SteeringContext): void {
		const wasSent = request.place !== undefined || request.runs > 0;
		if (request.place !== undefined) {
			this.#stopAttempt(request, context);
			request.runs += 1;
		}

		const kind = wasSent ? ErrorKind.DeadlineExceeded : ErrorKind.NoRoom;
		this.#refuse(request, kind, context);
	}

	/** Sends an overdue request to another server, if one has room. */
	#moveOn(request: LiveRequest, context: SteeringContext): void {
		const {place, attempt} = request;
		if (place === undefined) {
			return;
		}

		request.place = undefined;
		if (this.#repeat(request, context)) {
			request.runs += 1;
			place.state.onFailed(place.running, context.now);
			const {requestId} = request.arrival;
			context.emit({type: 'cancel-attempt', requestId, attempt});
		} else {
			request.place = place;
		}
	}

	#stopAttempt(request: LiveRequest, context: SteeringContext): void {
		const {place, attempt, arrival} = request;
		if (place !== undefined) {
			request.place = undefined;
			place.state.onAbandoned(place.running);
			const {requestId} = arrival;
			context.emit({type: 'cancel-attempt', requestId, attempt});
		}
	}

	#refuse(
		request: LiveRequest,
		kind: ErrorKind,
		context: SteeringContext,
	): void {
		// What may have run must not be called not run.
		const isUntrue = getErrorAnswer(kind).notRun && request.runs > 0;
		const truth = isUntrue ? ErrorKind.OutcomeUnknown : kind;
		this.#remove(request);
		if (request.runs === 0 && request.customer !== undefined) {
			this.#options.limits.rates.giveBack(request.customer);
		}

		context.emit({
			type: 'refuse',
			requestId: request.arrival.requestId,
			kind: truth,
			retryAfter: this.#waitLimits.toRetryAfter(truth),
		});
		this.#log.onEnded(request, truth, context);
	}

	#refuseArrival(
		arrival: SteeringArrival,
		kind: ErrorKind,
		pause: Milliseconds | undefined,
		context: SteeringContext,
	): void {
		const {requestId} = arrival;
		const retryAfter = pause ?? this.#waitLimits.toRetryAfter(kind);
		context.emit({type: 'refuse', requestId, kind, retryAfter});
		this.#log.onRefusedArrival(arrival, kind, retryAfter, context);
	}

	#remove(request: LiveRequest): void {
		this.#requests.delete(request.arrival.requestId);
		this.#waiting.remove(request);
	}
}
