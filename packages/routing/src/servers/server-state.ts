import {second, type Milliseconds, type Server} from '@parsleyvale/shared';
import {DecayingAverage} from '../decaying-average.js';
import {ReportedLoad} from './reported-load.js';
import {ServerHealth} from './server-health.js';
import {SlowStart} from './slow-start.js';

const averageLifetime: Milliseconds = 10 * second;

/** How much a reported request weighs against one of this host's own. */
const reportWeight = 0.25;

/** What this host knows of one backend server. */
export class ServerState {
	/** Whether the server is drained or leaving. */
	isDrained = false;
	/** Whether the configuration no longer has the server. */
	isRemoved = false;
	/** Requests of this host that run there. */
	inFlight = 0;
	/** When an attempt there last ended, or began with no other running. */
	lastEndAt: Milliseconds = 0;
	/** From sending to the first byte of the answer, without the way. */
	readonly latency = new DecayingAverage(averageLifetime);
	/** Part of the attempts that succeeded. */
	readonly successRate = new DecayingAverage(averageLifetime);
	readonly health = new ServerHealth();
	readonly reportedLoad = new ReportedLoad();
	readonly slowStart: SlowStart;
	#server: Server;

	constructor(server: Server, coldSince: Milliseconds | undefined) {
		this.#server = server;
		this.slowStart = new SlowStart(coldSince);
	}

	get server(): Server {
		return this.#server;
	}

	/** Takes over what a newer configuration says of the server. */
	setServer(server: Server): void {
		this.#server = server;
	}

	get isUsable(): boolean {
		return !this.isDrained && !this.isRemoved;
	}

	/** Own requests in flight, and those of others as far as known. */
	getLoad(now: Milliseconds): number {
		return this.inFlight + reportWeight * this.reportedLoad.getOthers(now);
	}

	/** Whether attempts run there and none has ended for so long. */
	isStalled(tolerance: Milliseconds, now: Milliseconds): boolean {
		return this.inFlight > 0 && now - this.lastEndAt > tolerance;
	}

	/** The most that this host may have in flight there. */
	getLimit(now: Milliseconds): number {
		const slots = this.server.slots * this.slowStart.getWarmth(now);
		return Math.max(1, Math.floor(slots));
	}

	/** Load as a part of what the server is trusted with. */
	getUtilization(now: Milliseconds): number {
		return this.getLoad(now) / this.getLimit(now);
	}
}

export function sumSlots(states: readonly ServerState[]): number {
	return states.reduce((sum, state) => sum + state.server.slots, 0);
}
