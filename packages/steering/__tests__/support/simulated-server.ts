import type {Milliseconds} from '@parsleyvale/shared';
import type {BackendServer, ReportedLoad} from '../../src/index.js';

/** How a request ended: the status of its response, or why there was none. */
export type WorkEnd =
	| number
	| 'not-run'
	/** The server crashed while it had the request. */
	| 'lost'
	/** The server is down after a crash. */
	| 'unreachable';

export type SimulatedWork = {
	readonly objectKey: string;
	readonly cachedTime: Milliseconds;
	readonly uncachedTime: Milliseconds;
	readonly deadline: Milliseconds;
	/** Whether it crashes the server that runs it. */
	readonly isDeadly: boolean;
	readonly onEnd: (end: WorkEnd, at: Milliseconds) => void;
	isCancelled: boolean;
};

/** Time from the start of a deadly request to the crash. */
const timeToCrash: Milliseconds = 40;
export const crashDuration: Milliseconds = 3000;

export type SimulatedServerOptions = {
	readonly server: BackendServer;
	/** Requests that may wait for a slot; further ones are rejected. */
	readonly queueLimit: number;
	/** Objects that it caches. */
	readonly cacheSize: number;
	readonly onArrival: (at: Milliseconds) => void;
	/** Called when a request has crashed it, before the requests that it had are lost. */
	readonly onCrash: (at: Milliseconds) => void;
	readonly schedule: (at: Milliseconds, action: () => void) => void;
	/** Uniform numbers from 0 to below 1. */
	readonly random: () => number;
};

/** Simulates a backend server with slots, a queue and an LRU cache of objects. */
export class SimulatedServer {
	slowness = 1;
	/** Fraction of the requests that it rejects although it has room. */
	shedFraction = 0;
	/** Fraction of the requests that it answers with 500 at once. */
	failureFraction = 0;
	/** How long its responses state that work takes, for the true slowness. */
	stateWorkTime: ((slowness: number) => number) | undefined;
	/** Limit that its responses state, in requests per second; it does not enforce it. */
	rateLimit: number | undefined;
	runs = 0;
	readonly #options: SimulatedServerOptions;
	readonly #running = new Set<SimulatedWork>();
	readonly #waiting: SimulatedWork[] = [];
	readonly #cachedObjects = new Set<string>();
	#downUntil: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(options: SimulatedServerOptions) {
		this.#options = options;
	}

	get load(): ReportedLoad {
		return {
			running: this.#running.size,
			waiting: this.#waiting.length,
			slots: this.#options.server.slots,
			workTimePercent: this.stateWorkTime?.(this.slowness),
		};
	}

	receive(work: SimulatedWork, now: Milliseconds): void {
		const {server, queueLimit, onArrival} = this.#options;
		if (now < this.#downUntil) {
			work.onEnd('unreachable', now);
			return;
		}

		onArrival(now);
		if (this.#isDrawn(this.shedFraction)) {
			work.onEnd('not-run', now);
		} else if (this.#isDrawn(this.failureFraction)) {
			work.onEnd(500, now);
		} else if (this.#running.size < server.slots) {
			this.#start(work, now);
		} else if (this.#waiting.length < queueLimit) {
			this.#waiting.push(work);
		} else {
			work.onEnd('not-run', now);
		}
	}

	cancel(work: SimulatedWork, now: Milliseconds): void {
		work.isCancelled = true;
		const index = this.#waiting.indexOf(work);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}

		if (this.#running.delete(work)) {
			this.#startNext(now);
		}
	}

	/** Loses all requests and is unreachable for a time. */
	#crash(now: Milliseconds): void {
		this.#downUntil = now + crashDuration;
		this.#options.onCrash(now);
		const lost = [...this.#running, ...this.#waiting.splice(0)];
		this.#running.clear();
		this.#cachedObjects.clear();
		for (const work of lost) {
			work.isCancelled = true;
			work.onEnd('lost', now);
		}
	}

	#isDrawn(fraction: number): boolean {
		return fraction > 0 && this.#options.random() < fraction;
	}

	#start(work: SimulatedWork, now: Milliseconds): void {
		const {schedule, cacheSize} = this.#options;
		this.#running.add(work);
		this.runs += 1;
		if (work.isDeadly) {
			schedule(now + timeToCrash, () => {
				if (!work.isCancelled) {
					this.#crash(now + timeToCrash);
				}
			});
			return;
		}

		const isCached = this.#cachedObjects.has(work.objectKey);
		const time =
			(isCached ? work.cachedTime : work.uncachedTime) * this.slowness;
		const end = Math.min(now + time, Math.max(now, work.deadline));
		const status = now + time <= work.deadline ? 200 : 504;
		schedule(end, () => {
			if (work.isCancelled) {
				return;
			}

			this.#running.delete(work);
			if (status === 200) {
				this.#cachedObjects.delete(work.objectKey);
				this.#cachedObjects.add(work.objectKey);
				if (this.#cachedObjects.size > cacheSize) {
					const [oldest] = this.#cachedObjects;
					this.#cachedObjects.delete(oldest!);
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
