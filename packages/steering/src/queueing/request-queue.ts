import {second, type Milliseconds} from '@parsleyvale/shared';
import type {LiveRequest} from '../admission/live-request.js';
import type {FairOrder} from './fair-order.js';
import {Throughput} from './throughput.js';

/** Requests waiting for capacity, by service and in the order of dispatch. */
export class RequestQueue {
	readonly #queues = new Map<string, LiveRequest[]>();
	readonly #completions = new Throughput();
	readonly #order: FairOrder;

	constructor(order: FairOrder) {
		this.#order = order;
	}

	get services(): readonly string[] {
		return [...this.#queues.keys()];
	}

	/** Lists the waiting requests of a service in dispatch order. */
	list(service: string): readonly LiveRequest[] {
		return this.#queues.get(service) ?? [];
	}

	add(request: LiveRequest): void {
		const queue = this.#queues.get(request.service) ?? [];
		queue.splice(this.#findIndex(queue, request), 0, request);
		this.#queues.set(request.service, queue);
	}

	remove(request: LiveRequest): void {
		const queue = this.#queues.get(request.service);
		const index = queue?.indexOf(request) ?? -1;
		if (index !== -1) {
			queue!.splice(index, 1);
		}
	}

	/** Records that an attempt of the service ended, which frees capacity. */
	onCompleted(service: string, now: Milliseconds): void {
		this.#completions.onEvent(service, now);
	}

	/** Estimates the queue time of a request added now, from the recent throughput. */
	computeQueueTime(request: LiveRequest, now: Milliseconds): Milliseconds {
		const ahead = this.#findIndex(this.list(request.service), request);
		return this.computeTimeUntilDispatch(request.service, ahead, now);
	}

	/** Estimates the time until a request is dispatched that has this many others of the service ahead of it. */
	computeTimeUntilDispatch(
		service: string,
		ahead: number,
		now: Milliseconds,
	): Milliseconds {
		const perSecond = this.#completions.computePerSecond(service, now);
		return ((ahead + 1) / perSecond) * second;
	}

	/** Returns the number of waiting requests that are dispatched before this one. */
	#findIndex(queue: readonly LiveRequest[], request: LiveRequest): number {
		const index = queue.findIndex((other) =>
			this.#order.isBefore(request, other),
		);
		return index === -1 ? queue.length : index;
	}
}
