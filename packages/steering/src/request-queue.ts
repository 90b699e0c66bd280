import {second, type Milliseconds} from '@parsleyvale/shared';
import type {LiveRequest} from './live-request.js';

/** Time over which the pace of answers is averaged. */
const paceSpan: Milliseconds = second;

type Pace = {perSecond: number; at: Milliseconds};

/** Requests that wait for room, by service, the most urgent first. */
export class RequestQueue {
	readonly #queues = new Map<string, LiveRequest[]>();
	readonly #paces = new Map<string, Pace>();

	get services(): readonly string[] {
		return [...this.#queues.keys()];
	}

	/** Waiting requests of a service in the order in which they are served. */
	list(service: string): readonly LiveRequest[] {
		return this.#queues.get(service) ?? [];
	}

	add(request: LiveRequest): void {
		const queue = this.#queues.get(request.service) ?? [];
		const index = queue.findIndex(({priority}) => priority > request.priority);
		queue.splice(index === -1 ? queue.length : index, 0, request);
		this.#queues.set(request.service, queue);
	}

	remove(request: LiveRequest): void {
		const queue = this.#queues.get(request.service);
		const index = queue?.indexOf(request) ?? -1;
		if (index !== -1) {
			queue!.splice(index, 1);
		}
	}

	/** A request of the service left its server: room for another. */
	onServed(service: string, now: Milliseconds): void {
		const pace = this.#fade(service, now);
		pace.perSecond += second / paceSpan;
	}

	/** How long a request that joined now would wait, at the pace of late. */
	computeWait(request: LiveRequest, now: Milliseconds): Milliseconds {
		const ahead = this.list(request.service).filter(
			({priority}) => priority <= request.priority,
		).length;
		const {perSecond} = this.#fade(request.service, now);
		return ((ahead + 1) / Math.max(1, perSecond)) * second;
	}

	#fade(service: string, now: Milliseconds): Pace {
		const pace = this.#paces.get(service) ?? {perSecond: 0, at: now};
		pace.perSecond *= Math.exp(-(now - pace.at) / paceSpan);
		pace.at = now;
		this.#paces.set(service, pace);
		return pace;
	}
}
