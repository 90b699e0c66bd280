import type {Context} from '@parsleyvale/kernel';
import type {CustomerTable} from './customer-table.js';
import {FairQueue} from './fair-queue.js';
import {maximumSkipped, maximumQueueLength} from './limits.js';
import type {LiveRequest} from './live-request.js';

/** `no-room`: the request keeps waiting; `served`: it left the queue, as it was forwarded, refused, or waits for a token. */
export type PlacementResult = 'served' | 'no-room';

/** Tries to place the request that is next in the queue. */
export type TryPlace = (
	request: LiveRequest,
	context: Context,
) => PlacementResult;

const publicRouteLane = '';

/** Requests that wait for capacity: one queue per pool, fair between customers. */
export class PlacementQueue {
	readonly #queues = new Map<string, FairQueue<LiveRequest>>();
	readonly #customers: CustomerTable;

	constructor(customers: CustomerTable) {
		this.#customers = customers;
	}

	/** Whether any request waits for the pool. */
	hasWaiting(pool: string): boolean {
		return (this.#queues.get(pool)?.length ?? 0) > 0;
	}

	/** Adds a request. Returns the request that is evicted when the queue is full. */
	add(request: LiveRequest): LiveRequest | undefined {
		const {pool} = request.route;
		const queue = this.#queues.get(pool) ?? new FairQueue(maximumQueueLength);
		this.#queues.set(pool, queue);
		return queue.add(request, this.#toLaneOptions(request));
	}

	remove(request: LiveRequest): void {
		const {laneName} = this.#toLaneOptions(request);
		this.#queues.get(request.route.pool)?.remove(request, laneName);
	}

	/**
	 * Tries to place waiting requests until several of them find no capacity. After
	 * a single failure the pool may still have some: the request may be too large
	 * for a link that the others do not use.
	 */
	serve(pool: string, context: Context, tryPlace: TryPlace): void {
		const queue = this.#queues.get(pool);
		const skipped: LiveRequest[] = [];
		let request = queue?.takeNext();
		while (request !== undefined) {
			if (tryPlace(request, context) === 'no-room') {
				skipped.push(request);
			}

			const isLimitReached = skipped.length >= maximumSkipped;
			request = isLimitReached ? undefined : queue?.takeNext();
		}

		for (const waiting of skipped.toReversed()) {
			queue?.putBack(waiting, this.#toLaneOptions(waiting));
		}
	}

	/** Serves the queues of all pools. */
	serveAll(context: Context, tryPlace: TryPlace): void {
		for (const pool of this.#queues.keys()) {
			this.serve(pool, context, tryPlace);
		}
	}

	#toLaneOptions(request: LiveRequest): {laneName: string; weight: number} {
		return {
			laneName: request.customer ?? publicRouteLane,
			weight: this.#customers.getWeight(request.customer),
		};
	}
}
