import type {Context} from '@parsleyvale/kernel';
import type {CustomerTable} from './customer-table.js';
import {FairQueue} from './fair-queue.js';
import {maximumPassedOver, maximumQueueLength} from './limits.js';
import type {LiveRequest} from './live-request.js';

/** What became of a request whose turn had come. */
export type Turn = 'served' | 'no-room';

/** Lets a request try for a place. */
export type TurnListener = (request: LiveRequest, context: Context) => Turn;

const openLane = '';

/** The requests that wait for room, fairly by customer in each pool. */
export class PlaceQueue {
	readonly #queues = new Map<string, FairQueue<LiveRequest>>();
	readonly #customers: CustomerTable;

	constructor(customers: CustomerTable) {
		this.#customers = customers;
	}

	/** Whether requests for the pool wait already. */
	isWaiting(pool: string): boolean {
		return (this.#queues.get(pool)?.length ?? 0) > 0;
	}

	/** Adds a request; hands back the one that the bound leaves no place for. */
	add(request: LiveRequest): LiveRequest | undefined {
		const {pool} = request.route;
		const queue = this.#queues.get(pool) ?? new FairQueue(maximumQueueLength);
		this.#queues.set(pool, queue);
		return queue.add(request, this.#toItem(request));
	}

	remove(request: LiveRequest): void {
		const {laneName} = this.#toItem(request);
		this.#queues.get(request.route.pool)?.remove(request, laneName);
	}

	/**
	 * Gives requests of the pool their turns until a few find no room. One alone
	 * says little: it may be too large for a link that others do not need.
	 */
	serve(pool: string, context: Context, onTurn: TurnListener): void {
		const queue = this.#queues.get(pool);
		const passedOver: LiveRequest[] = [];
		let request = queue?.takeNext();
		while (request !== undefined) {
			if (onTurn(request, context) === 'no-room') {
				passedOver.push(request);
			}

			const isFull = passedOver.length >= maximumPassedOver;
			request = isFull ? undefined : queue?.takeNext();
		}

		for (const waiting of passedOver.toReversed()) {
			queue?.putBack(waiting, this.#toItem(waiting));
		}
	}

	/** Gives turns in all pools. */
	serveAll(context: Context, onTurn: TurnListener): void {
		for (const pool of this.#queues.keys()) {
			this.serve(pool, context, onTurn);
		}
	}

	#toItem(request: LiveRequest): {laneName: string; weight: number} {
		return {
			laneName: request.customer ?? openLane,
			weight: this.#customers.getWeight(request.customer),
		};
	}
}
