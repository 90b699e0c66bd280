import type {Milliseconds} from '@parsleyvale/shared';
import type {BackendServer} from '../../src/index.js';

export type Work = {
	readonly object: string;
	readonly warm: Milliseconds;
	readonly cold: Milliseconds;
	readonly deadline: Milliseconds;
	readonly onEnd: (status: number | 'not-run', at: Milliseconds) => void;
	isCancelled: boolean;
};

export type VirtualServerOptions = {
	readonly server: BackendServer;
	/** Requests that wait for a slot before others are rejected. */
	readonly queue: number;
	/** Objects that it keeps at hand. */
	readonly kept: number;
	readonly onArrival: (at: Milliseconds) => void;
	readonly schedule: (at: Milliseconds, action: () => void) => void;
};

/** A backend server with slots, a queue, and the objects that it has at hand. */
export class VirtualServer {
	slowness = 1;
	runs = 0;
	readonly #options: VirtualServerOptions;
	readonly #running = new Set<Work>();
	readonly #waiting: Work[] = [];
	readonly #objects = new Set<string>();

	constructor(options: VirtualServerOptions) {
		this.#options = options;
	}

	get load(): {running: number; waiting: number} {
		return {running: this.#running.size, waiting: this.#waiting.length};
	}

	receive(work: Work, now: Milliseconds): void {
		const {server, queue, onArrival} = this.#options;
		onArrival(now);
		if (this.#running.size < server.slots) {
			this.#start(work, now);
		} else if (this.#waiting.length < queue) {
			this.#waiting.push(work);
		} else {
			work.onEnd('not-run', now);
		}
	}

	cancel(work: Work, now: Milliseconds): void {
		work.isCancelled = true;
		const index = this.#waiting.indexOf(work);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}

		if (this.#running.delete(work)) {
			this.#startNext(now);
		}
	}

	#start(work: Work, now: Milliseconds): void {
		const {schedule, kept} = this.#options;
		this.#running.add(work);
		this.runs += 1;
		const isWarm = this.#objects.has(work.object);
		const time = (isWarm ? work.warm : work.cold) * this.slowness;
		const end = Math.min(now + time, Math.max(now, work.deadline));
		const status = now + time <= work.deadline ? 200 : 504;
		schedule(end, () => {
			if (work.isCancelled) {
				return;
			}

			this.#running.delete(work);
			if (status === 200) {
				this.#objects.delete(work.object);
				this.#objects.add(work.object);
				if (this.#objects.size > kept) {
					const [oldest] = this.#objects;
					this.#objects.delete(oldest!);
				}
			}

			work.onEnd(status, end);
			this.#startNext(end);
		});
	}

	#startNext(now: Milliseconds): void {
		const next = this.#waiting.shift();
		if (next === undefined) {
			return;
		}

		if (next.deadline <= now) {
			next.onEnd('not-run', now);
			this.#startNext(now);
		} else {
			this.#start(next, now);
		}
	}
}
