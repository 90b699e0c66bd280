import type {ErrorKind, Milliseconds} from '@parsleyvale/shared';
import type {Beliefs} from './beliefs.js';
import type {LogValue} from './effect.js';
import type {SteeringArrival, SteeringAttemptEnded} from './event.js';
import type {LiveRequest} from './live-request.js';
import type {Place} from './placer.js';
import type {SteeringContext} from './types.js';

/** Lines and metrics of requests: one line for each decision. */
export class RequestLog {
	readonly #beliefs: Beliefs;

	constructor(beliefs: Beliefs) {
		this.#beliefs = beliefs;
	}

	/** A server was chosen. */
	onPlaced(request: LiveRequest, context: SteeringContext): void {
		const {arrival, attempt, place, route, waitingSince} = request;
		const {now} = context;
		context.emit({
			type: 'log',
			weight: 'request',
			message: 'request placed',
			fields: {
				requestId: arrival.requestId,
				callerId: arrival.callerId,
				attempt,
				route: route.name,
				customer: request.customer?.name,
				server: place!.state.server.id,
				candidates: place!.candidates,
				load: Math.round(place!.load * 10) / 10,
				isWarm: place!.isWarm,
				objectHash: request.objectHash,
				expectedMs: Math.round(place!.expected),
				waitedMs: waitingSince && Math.round(now - waitingSince),
				version: this.#beliefs.configuration.version,
			},
		});
	}

	onAttemptEnded(
		{state, running}: Place,
		{requestId, attempt, outcome, status}: SteeringAttemptEnded,
		isEjected: boolean,
		context: SteeringContext,
	): void {
		const {id} = state.server;
		context.emit({
			type: 'log',
			weight: outcome === 'answered' ? 'request' : 'failure',
			message: 'attempt ended',
			fields: {
				requestId,
				attempt,
				server: id,
				outcome,
				status,
				tookMs: Math.round(context.now - running.sentAt),
			},
		});
		if (isEjected) {
			context.emit({
				type: 'log',
				weight: 'belief',
				message: 'server ejected',
				fields: {server: id, outcome},
			});
		}
	}

	/** A request was refused before it was taken. */
	onRefusedArrival(
		{requestId, callerId}: SteeringArrival,
		kind: ErrorKind,
		retryAfter: Milliseconds | undefined,
		context: SteeringContext,
	): void {
		const {configuration} = this.#beliefs;
		const age = configuration.computeAge(context.now);
		context.emit({
			type: 'log',
			weight: 'failure',
			message: 'request refused',
			fields: {
				requestId,
				callerId,
				kind,
				version: configuration.version,
				ageMs: Number.isFinite(age) ? Math.round(age) : undefined,
				retryAfterMs: retryAfter && Math.round(retryAfter),
			},
		});
		context.emit({type: 'count', name: 'requests', labels: {outcome: kind}});
	}

	/** The request has its one end. */
	onEnded(
		request: LiveRequest,
		outcome: string,
		context: SteeringContext,
	): void {
		const {arrival, route, attempt, runs} = request;
		const took = context.now - arrival.arrivedAt;
		const fields: Record<string, LogValue> = {
			requestId: arrival.requestId,
			callerId: arrival.callerId,
			outcome,
			route: route.name,
			attempts: attempt,
			runs,
			tookMs: Math.round(took),
		};
		context.emit({
			type: 'log',
			weight: outcome === 'answered' ? 'request' : 'failure',
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
			value: took,
		});
	}
}
