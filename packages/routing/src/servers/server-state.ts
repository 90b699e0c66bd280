import {second, type Milliseconds, type Server} from '@parsleyvale/shared';
import {DecayingAverage} from '../decaying-average.js';
import {ReportedLoad} from './reported-load.js';
import {ServerHealth} from './server-health.js';
import {SlowStart} from './slow-start.js';

const averageLifetime: Milliseconds = 10 * second;

/** Weight of a reported request relative to one of this host's own. */
const reportedLoadWeight = 0.25;

/** State of a backend server as seen by this host. */
export class ServerState {
	/** Whether the server receives no new requests, as it is drained or leaving. */
	isDrained = false;
	/** Whether the server was removed from the configuration. */
	isRemoved = false;
	/** Number of requests of this host in flight at the server. */
	inFlight = 0;
	/** When an attempt last ended, or started with no other in flight. */
	lastProgressAt: Milliseconds = 0;
	/**
	 * Time to the first byte of the response, excluding the network round trip.
	 */
	readonly latency = new DecayingAverage(averageLifetime);
	/** Fraction of attempts that succeeded. */
	readonly successRate = new DecayingAverage(averageLifetime);
	readonly health = new ServerHealth();
	readonly reportedLoad = new ReportedLoad();
	readonly slowStart: SlowStart;
	#server: Server;

	constructor(server: Server, rampStartedAt: Milliseconds | undefined) {
		this.#server = server;
		this.slowStart = new SlowStart(rampStartedAt);
	}

	get server(): Server {
		return this.#server;
	}

	/** Replaces the server definition with that of a newer configuration. */
	setServer(server: Server): void {
		this.#server = server;
	}

	get isInService(): boolean {
		return !this.isDrained && !this.isRemoved;
	}

	/** Returns this host's requests in flight plus weighted reported load. */
	getLoad(now: Milliseconds): number {
		return (
			this.inFlight +
			reportedLoadWeight * this.reportedLoad.getOthersInFlight(now)
		);
	}

	/** Whether attempts are in flight and none has ended within `tolerance`. */
	isStalled(tolerance: Milliseconds, now: Milliseconds): boolean {
		return this.inFlight > 0 && now - this.lastProgressAt > tolerance;
	}

	/** Returns the maximum number of requests of this host in flight. */
	getInFlightLimit(now: Milliseconds): number {
		const slots = this.server.slots * this.slowStart.getRampFraction(now);
		return Math.max(1, Math.floor(slots));
	}

	/** Returns the load as a fraction of the in-flight limit. */
	getUtilization(now: Milliseconds): number {
		return this.getLoad(now) / this.getInFlightLimit(now);
	}
}

export function sumSlots(states: readonly ServerState[]): number {
	return states.reduce((sum, state) => sum + state.server.slots, 0);
}
