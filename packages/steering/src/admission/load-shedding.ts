import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringAttemptEnded} from '../event.js';
import type {HostState} from '../host-state.js';
import type {Placement} from '../placement/placer.js';
import {DispatchPass} from '../queueing/dispatch-pass.js';
import type {PriorityHeadroom} from '../queueing/priority-headroom.js';
import type {FairOrder} from '../queueing/fair-order.js';
import type {RequestQueue} from '../queueing/request-queue.js';
import type {WaitLimits} from '../queueing/wait-limits.js';
import type {ServerState} from '../servers/server-state.js';
import type {LiveRequest} from './live-request.js';

/** Factor by which the expected queue time may exceed the limit before a waiting request is refused, as the estimate varies. */
const queueTimeTolerance = 1.25;

export type LoadSheddingOptions = {
	readonly hostState: HostState;
	readonly headroom: PriorityHeadroom;
	readonly order: FairOrder;
	readonly queue: RequestQueue;
	readonly waitLimits: WaitLimits;
};

/** Decides which requests of services with load control wait, go first or are refused when a pool is full. */
export class LoadShedding {
	readonly #options: LoadSheddingOptions;

	constructor(options: LoadSheddingOptions) {
		this.#options = options;
	}

	get isEnabled(): boolean {
		return this.#options.hostState.loadControl.isEnabled;
	}

	onArrived(request: LiveRequest, now: Milliseconds): void {
		const {headroom, order} = this.#options;
		headroom.onArrived(request, now);
		if (this.isEnabled) {
			const isContended = this.#findFirst(request) !== undefined;
			order.onArrived(request, {isContended, now});
		}
	}

	/** The request was placed, and is not in the queue. */
	onPlaced(request: LiveRequest, now: Milliseconds): void {
		const {headroom, order} = this.#options;
		if (request.attempt === 1 && this.isEnabled) {
			headroom.shares.onPlaced(request.service, request.route.name, now);
			order.onPlaced(request, this.#findFirst(request));
		}
	}

	/** Learns from an attempt, before its server's state is updated. */
	onAttemptEnded(
		{service, route}: LiveRequest,
		{state, inFlightRequest, isQueued, networkTime}: Placement,
		{outcome, status = 500, load}: SteeringAttemptEnded,
		now: Milliseconds,
	): void {
		const {slotTimes, unseenLoad} = this.#options.headroom;
		if (load !== undefined) {
			// The server no longer counts the request that it has answered.
			const expected = state.computeLoad(now) - 1;
			unseenLoad.onLoadStated(service, load.running + load.waiting, expected);
		}

		if (outcome === 'answered' && status < 500 && !isQueued) {
			const time = Math.max(1, now - inFlightRequest.sentAt - networkTime);
			slotTimes.observe(service, route, time);
		}
	}

	onEnded(request: LiveRequest, now: Milliseconds): void {
		const {headroom, order} = this.#options;
		order.onEnded(request);
		if (request.attempt === 0 && this.isEnabled) {
			headroom.shares.onRefused(request.service, request.route.name, now);
		}
	}

	/** Whether an arriving request has to wait because others do and its customer has had more than its share. */
	mustWait(request: LiveRequest): boolean {
		return (
			this.#options.order.isAheadOfTurn(request) &&
			this.#findFirst(request) !== undefined
		);
	}

	/** Begins to dispatch waiting requests after an attempt has ended at `freed`, or on a tick. */
	createPass(freed: ServerState | undefined, now: Milliseconds): DispatchPass {
		return new DispatchPass({order: this.#options.order, freed, now});
	}

	/** Lists the waiting requests in dispatch order; routes that are served too rarely come first. */
	listInOrder(service: string, now: Milliseconds): readonly LiveRequest[] {
		const {headroom, queue} = this.#options;
		const waiting = queue.list(service);
		const rare = new Set(
			[...new Set(waiting.map(({route}) => route.name))].filter(
				(route) => headroom.shares.computeTolerance(service, route, now) === 0,
			),
		);
		return [
			...waiting.filter(({route}) => rare.has(route.name)),
			...waiting.filter(({route}) => !rare.has(route.name)),
		];
	}

	/** Lists waiting requests whose turn will come too late, as others have come before them or fewer are served. */
	listOverdue(service: string, now: Milliseconds): readonly LiveRequest[] {
		const {queue, waitLimits} = this.#options;
		return this.listInOrder(service, now).filter((request, ahead) => {
			const {waitingSince, cachedAt} = request;
			const queueTime =
				now -
				(waitingSince ?? now) +
				queue.computeTimeUntilDispatch(service, ahead, now);
			const maximum =
				waitLimits.computeMaximumQueueTime(request) * queueTimeTolerance;
			return cachedAt === undefined && queueTime > maximum;
		});
	}

	/** Finds the first waiting request of the same service and priority. */
	#findFirst({service, priority}: LiveRequest): LiveRequest | undefined {
		return this.#options.queue
			.list(service)
			.find(
				(other) => other.priority === priority && other.cachedAt === undefined,
			);
	}
}
