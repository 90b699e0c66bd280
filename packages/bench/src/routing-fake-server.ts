import type {Milliseconds, Server} from '@parsleyvale/shared';
import type {VirtualClock} from './routing-virtual-clock.js';

/** Requests that a server lets wait for each of its slots. */
const queuedPerSlot = 2;

export type ServerAnswer =
	| {readonly kind: 'answered'; readonly reportedLoad: number}
	| {readonly kind: 'refused'};

/** How a server behaves in a scenario. */
export type ServerBehaviour = {
	/** Times the usual service time. */
	computeSlowness(now: Milliseconds): number;
	isDead(now: Milliseconds): boolean;
	/** What the server says of its load. */
	computeReport(load: number, now: Milliseconds): number;
};

/** A backend server with slots and a short queue. */
export class FakeServer {
	readonly server: Server;
	readonly behaviour: ServerBehaviour;
	/** The most that ran or waited at once. */
	peakLoad = 0;
	readonly #clock: VirtualClock;
	readonly #sampleServiceTime: () => Milliseconds;
	readonly #queue: Array<(answer: ServerAnswer) => void> = [];
	#running = 0;

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

	handle(onAnswer: (answer: ServerAnswer) => void): void {
		if (this.#queue.length >= queuedPerSlot * this.server.slots) {
			onAnswer({kind: 'refused'});
			return;
		}

		this.#queue.push(onAnswer);
		this.peakLoad = Math.max(this.peakLoad, this.#load);
		this.#startNext();
	}

	get #load(): number {
		return this.#running + this.#queue.length;
	}

	#startNext(): void {
		if (this.#running >= this.server.slots) {
			return;
		}

		const onAnswer = this.#queue.shift();
		if (onAnswer === undefined) {
			return;
		}

		this.#running++;
		const slowness = this.behaviour.computeSlowness(this.#clock.now);
		this.#clock.start(this.#sampleServiceTime() * slowness, () => {
			const load = this.#load;
			this.#running--;
			onAnswer({
				kind: 'answered',
				reportedLoad: this.behaviour.computeReport(load, this.#clock.now),
			});
			this.#startNext();
		});
	}
}
