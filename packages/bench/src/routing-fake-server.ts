import type {Milliseconds, Server} from '@parsleyvale/shared';
import type {VirtualClock} from './routing-virtual-clock.js';

/** Maximum number of queued requests per slot. */
const maxQueuedPerSlot = 2;

export type ServerResponse =
	| {readonly kind: 'answered'; readonly reportedLoad: number}
	| {readonly kind: 'refused'};

/** How a server behaves in a scenario. */
export type ServerBehaviour = {
	/** Factor by which the usual service time is multiplied. */
	computeSlowdown(now: Milliseconds): number;
	isDown(now: Milliseconds): boolean;
	/** The load that the server reports, which may differ from its actual load. */
	computeReportedLoad(load: number, now: Milliseconds): number;
};

/** A backend server with slots and a short queue. */
export class FakeServer {
	readonly server: Server;
	readonly behaviour: ServerBehaviour;
	/** Highest number of requests in flight and queued at the same time. */
	peakLoad = 0;
	readonly #clock: VirtualClock;
	readonly #sampleServiceTime: () => Milliseconds;
	readonly #queue: Array<(response: ServerResponse) => void> = [];
	#inFlight = 0;

	constructor(options: {
		readonly server: Server;
		readonly behaviour: ServerBehaviour;
		readonly clock: VirtualClock;
		readonly sampleServiceTime: () => Milliseconds;
	}) {
		this.server = options.server;
		this.behaviour = options.behaviour;
		this.#clock = options.clock;
		this.#sampleServiceTime = options.sampleServiceTime;
	}

	handle(onResponse: (response: ServerResponse) => void): void {
		if (this.#queue.length >= maxQueuedPerSlot * this.server.slots) {
			onResponse({kind: 'refused'});
			return;
		}

		this.#queue.push(onResponse);
		this.peakLoad = Math.max(this.peakLoad, this.#load);
		this.#startNext();
	}

	get #load(): number {
		return this.#inFlight + this.#queue.length;
	}

	#startNext(): void {
		if (this.#inFlight >= this.server.slots) {
			return;
		}

		const onResponse = this.#queue.shift();
		if (onResponse === undefined) {
			return;
		}

		this.#inFlight++;
		const slowdown = this.behaviour.computeSlowdown(this.#clock.now);
		this.#clock.schedule(this.#sampleServiceTime() * slowdown, () => {
			const load = this.#load;
			this.#inFlight--;
			onResponse({
				kind: 'answered',
				reportedLoad: this.behaviour.computeReportedLoad(load, this.#clock.now),
			});
			this.#startNext();
		});
	}
}
