import {ErrorKind, second, type Milliseconds} from '@parsleyvale/shared';
import type {PriorityHeadroom} from '../queueing/priority-headroom.js';
import type {RequestQueue} from '../queueing/request-queue.js';
import type {SteeringContext} from '../types.js';
import type {LiveRequest} from './live-request.js';

const sampleInterval: Milliseconds = second;
/** Headroom that is gone for less does not end, so that rare urgent requests cause no line each. */
const endDelay: Milliseconds = 10 * second;

type Headroom = {isInForce: boolean; lastReservedAt: Milliseconds};

/** Emits metrics of headroom, queues and refusals for services with load control, and a log line when headroom begins or ends. */
export class OverloadLog {
	readonly #headroom: PriorityHeadroom;
	readonly #queue: RequestQueue;
	/** By service and priority. */
	readonly #states = new Map<string, Headroom>();
	#sampledAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(headroom: PriorityHeadroom, queue: RequestQueue) {
		this.#headroom = headroom;
		this.#queue = queue;
	}

	onTick(context: SteeringContext): void {
		const {now} = context;
		if (now - this.#sampledAt < sampleInterval) {
			return;
		}

		this.#sampledAt = now;
		for (const {service, priorities} of this.#headroom.listServices()) {
			context.emit({
				type: 'observe',
				name: 'overload_queue_length',
				labels: {service},
				value: this.#queue.list(service).length,
			});
			for (const priority of priorities) {
				this.#sampleHeadroom(service, priority, context);
			}
		}
	}

	/** A request of a service with load control was refused. */
	onRefused(
		{service, priority, waitingSince}: LiveRequest,
		kind: ErrorKind,
		context: SteeringContext,
	): void {
		if (kind !== ErrorKind.NoRoom && kind !== ErrorKind.ServerRefused) {
			return;
		}

		const waited = waitingSince === undefined ? 'not-queued' : 'waited';
		const reason = kind === ErrorKind.NoRoom ? waited : 'rejected';
		context.emit({
			type: 'count',
			name: 'overload_refusals',
			labels: {service, priority: String(priority), reason},
		});
	}

	#sampleHeadroom(
		service: string,
		priority: number,
		context: SteeringContext,
	): void {
		const {now} = context;
		const fraction = this.#headroom.getReservedFraction(service, priority, now);
		const percent = Math.round(fraction * 1000) / 10;
		const labels = {service, priority: String(priority)};
		context.emit({
			type: 'observe',
			name: 'overload_headroom_percent',
			labels,
			value: percent,
		});
		const key = `${service}/${priority}`;
		const state = this.#states.get(key) ?? {
			isInForce: false,
			lastReservedAt: 0,
		};
		this.#states.set(key, state);
		if (fraction > 0) {
			state.lastReservedAt = now;
		}

		const isInForce =
			fraction > 0 ||
			(state.isInForce && now - state.lastReservedAt < endDelay);
		if (isInForce !== state.isInForce) {
			state.isInForce = isInForce;
			context.emit({
				type: 'log',
				priority: 'belief',
				message: isInForce ? 'headroom begins' : 'headroom ends',
				fields: {...labels, percent},
			});
		}
	}
}
