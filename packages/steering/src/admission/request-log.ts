import type {ErrorKind, Milliseconds} from '@parsleyvale/shared';
import type {HostState} from '../host-state.js';
import type {LogValue} from '../effect.js';
import type {SteeringArrival, SteeringAttemptEnded} from '../event.js';
import type {Placement} from '../placement/placer.js';
import type {ServerState} from '../servers/server-state.js';
import type {SteeringContext} from '../types.js';
import type {LiveRequest} from './live-request.js';

/** What is known of a request that is refused at admission. */
export type ArrivalRefusal = {
	readonly customer: string | undefined;
	readonly retryAfter: Milliseconds | undefined;
};

/** What is known of an attempt that has ended, apart from its result. */
export type EndedAttempt = {
	readonly placement: Placement;
	readonly fingerprint: string;
	readonly isEjected: boolean;
};

/** Emits log lines and metrics of requests: one line for each decision. */
export class RequestLog {
	readonly #hostState: HostState;

	constructor(hostState: HostState) {
		this.#hostState = hostState;
	}

	/** A server was chosen. */
	onPlaced(request: LiveRequest, context: SteeringContext): void {
		const {arrival, attempt, placement, route, waitingSince} = request;
		const {now} = context;
		context.emit({
			type: 'log',
			priority: 'request',
			message: 'request placed',
			fields: {
				requestId: arrival.requestId,
				callerId: arrival.callerId,
				attempt,
				route: route.name,
				customer: request.customer?.name,
				server: placement!.state.server.id,
				candidates: placement!.candidateCount,
				load: Math.round(placement!.load * 10) / 10,
				isWarm: placement!.isCached,
				objectHash: request.objectHash,
				expectedMs: Math.round(placement!.expectedTime),
				waitedMs: waitingSince && Math.round(now - waitingSince),
				version: this.#hostState.configuration.version,
			},
		});
	}

	onAttemptEnded(
		{placement: {state, inFlightRequest}, fingerprint, isEjected}: EndedAttempt,
		{requestId, attempt, outcome, status, reason}: SteeringAttemptEnded,
		context: SteeringContext,
	): void {
		const {id} = state.server;
		context.emit({
			type: 'log',
			priority: outcome === 'answered' ? 'request' : 'failure',
			message: 'attempt ended',
			fields: {
				requestId,
				attempt,
				server: id,
				outcome,
				status,
				reason,
				fingerprint: outcome === 'unknown' ? fingerprint : undefined,
				tookMs: Math.round(context.now - inFlightRequest.sentAt),
			},
		});
		if (isEjected) {
			context.emit({
				type: 'log',
				priority: 'belief',
				message: 'server ejected',
				fields: {server: id, outcome},
			});
		}
	}

	/** A request was refused at admission. */
	onArrivalRefused(
		{requestId, callerId}: SteeringArrival,
		kind: ErrorKind,
		{customer, retryAfter}: ArrivalRefusal,
		context: SteeringContext,
	): void {
		const {configuration} = this.#hostState;
		const age = configuration.computeConfirmationAge(context.now);
		context.emit({
			type: 'log',
			priority: 'failure',
			message: 'request refused',
			fields: {
				requestId,
				callerId,
				kind,
				customer,
				version: configuration.version,
				ageMs: Number.isFinite(age) ? Math.round(age) : undefined,
				retryAfterMs: retryAfter && Math.round(retryAfter),
			},
		});
		context.emit({type: 'count', name: 'requests', labels: {outcome: kind}});
	}

	/** The request has its outcome; packages/requests names the metrics `requests_total` and `request_duration_milliseconds`. */
	onEnded(
		request: LiveRequest,
		outcome: string,
		context: SteeringContext,
	): void {
		const {arrival, route, attempt, possibleRuns} = request;
		const duration = context.now - arrival.arrivedAt;
		const fields: Record<string, LogValue> = {
			requestId: arrival.requestId,
			callerId: arrival.callerId,
			outcome,
			route: route.name,
			attempts: attempt,
			runs: possibleRuns,
			tookMs: Math.round(duration),
		};
		context.emit({
			type: 'log',
			priority: outcome === 'answered' ? 'request' : 'failure',
			message: 'request ended',
			fields,
		});
		context.emit({type: 'count', name: 'requests', labels: {outcome}});
		context.emit({
			type: 'observe',
			name: 'request_ms',
			labels: {
				customer: request.customer?.name ?? 'none',
				priority: String(route.priority),
			},
			value: duration,
		});
	}
}

/** Logs that a server stated another limit on its rate, or none any more. */
export function logRateLimitChange(
	state: ServerState,
	context: SteeringContext,
): void {
	logRateLimit('server rate limit changed', state, context);
}

/** Logs that a response states a rate limit that is no number, and so is ignored. */
export function logUnreadableRateLimit(
	state: ServerState,
	context: SteeringContext,
): void {
	logRateLimit('server rate limit not readable', state, context);
}

function logRateLimit(
	message: string,
	{server, rateLimit}: ServerState,
	context: SteeringContext,
): void {
	context.emit({
		type: 'log',
		priority: 'belief',
		message,
		fields: {
			server: server.id,
			service: server.service,
			requestsPerSecond: rateLimit ?? 'none',
		},
	});
}
