import {second, type Milliseconds} from '@parsleyvale/shared';
import type {LiveRequest} from '../admission/live-request.js';
import type {SlotTimes} from './slot-times.js';
import {UsualDemand} from './usual-demand.js';

/** Requests whose turns differ by less slot time are dispatched short before long. */
const roundLength: Milliseconds = second / 2;
/** Slot time by which a customer may be ahead of its turn before its arrivals wait behind others. */
const maximumLead: Milliseconds = 2 * second;

/** Requests of one service and priority. */
type Lane = {
	/** Turn of the request placed last, in slot time per weight. */
	turn: Milliseconds;
	/** End of each customer's last turn. */
	readonly ends: Map<string, Milliseconds>;
	readonly usualDemand: UsualDemand;
};

type Turn = {
	readonly start: Milliseconds;
	readonly cost: Milliseconds;
	readonly slotTime: Milliseconds;
};

/**
 * By priority, then fair between customers (start-time fair queueing by slot time,
 * weighted by each customer's usual demand), then short before long. A request that
 * is refused is not charged. Requests without a turn, of services without load
 * control, keep the order of their arrival within a priority.
 */
export class FairOrder {
	readonly #slotTimes: SlotTimes;
	readonly #lanes = new Map<string, Lane>();
	readonly #turns = new WeakMap<LiveRequest, Turn>();

	constructor(slotTimes: SlotTimes) {
		this.#slotTimes = slotTimes;
	}

	/** Assigns the request its turn. Usual demand is learned while no request waits, so that a burst does not count as usual. */
	onArrived(
		request: LiveRequest,
		{
			isContended,
			now,
		}: {readonly isContended: boolean; readonly now: Milliseconds},
	): void {
		const lane = this.#getLane(request);
		const customer = getCustomerName(request);
		const slotTime = this.#slotTimes.get(request.route);
		if (!isContended) {
			lane.usualDemand.observe(customer, slotTime, now);
		}

		const cost = slotTime / lane.usualDemand.computeWeight(customer, now);
		const start = Math.max(lane.turn, lane.ends.get(customer) ?? 0);
		lane.ends.set(customer, start + cost);
		this.#turns.set(request, {start, cost, slotTime});
	}

	/** A request was placed; `first` is the next waiting one of its service and priority. */
	onPlaced(request: LiveRequest, first: LiveRequest | undefined): void {
		const lane = this.#getLane(request);
		const {start = 0} = this.#turns.get(request) ?? {};
		const firstStart = first && this.#turns.get(first)?.start;
		// A request placed before its turn must not bring the others' turns forward.
		lane.turn = Math.max(lane.turn, Math.min(start, firstStart ?? start));
		this.#turns.delete(request);
	}

	/** A request has ended; if it was not placed, its customer gets the turn back. */
	onEnded(request: LiveRequest): void {
		const turn = this.#turns.get(request);
		if (turn !== undefined) {
			const {ends} = this.#getLane(request);
			const customer = getCustomerName(request);
			ends.set(customer, (ends.get(customer) ?? 0) - turn.cost);
			this.#turns.delete(request);
		}
	}

	/** Whether the customer has had so much more than its share that its requests wait behind those of others. */
	isAheadOfTurn(request: LiveRequest): boolean {
		const {start = 0} = this.#turns.get(request) ?? {};
		return start - this.#getLane(request).turn > maximumLead;
	}

	/** Whether the request is dispatched before another one that was added earlier. */
	isBefore(request: LiveRequest, other: LiveRequest): boolean {
		if (request.priority !== other.priority) {
			return request.priority < other.priority;
		}

		const turn = this.#turns.get(request);
		const otherTurn = this.#turns.get(other);
		if (turn === undefined || otherTurn === undefined) {
			return false;
		}

		const round = Math.floor(turn.start / roundLength);
		const otherRound = Math.floor(otherTurn.start / roundLength);
		return (
			round < otherRound ||
			(round === otherRound && turn.slotTime < otherTurn.slotTime)
		);
	}

	#getLane({service, priority}: LiveRequest): Lane {
		const key = `${service}/${priority}`;
		const lane = this.#lanes.get(key) ?? {
			turn: 0,
			ends: new Map<string, Milliseconds>(),
			usualDemand: new UsualDemand(),
		};
		this.#lanes.set(key, lane);
		return lane;
	}
}

/** Callers of public routes share one name. */
function getCustomerName({customer}: LiveRequest): string {
	return customer?.name ?? '';
}
