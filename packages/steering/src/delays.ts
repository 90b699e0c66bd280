import type {Milliseconds} from '@parsleyvale/shared';
import type {BackendServer, SteeringHost} from './model.js';

/** Round trips taken for true until a connection has shown its own. */
const firstInDomain: Milliseconds = 1;
const firstInRegion: Milliseconds = 10;
const firstBetweenRegions: Milliseconds = 60;
/** Weight of the newest round trip: about five count. */
const gain = 0.2;
/** Bytes that a fresh connection carries in one round trip: ten segments. */
const bytesPerRoundTrip = 14_600;

/** Round trips from this host to the servers of each failure domain. */
export class Delays {
	readonly #self: SteeringHost;
	readonly #roundTrips = new Map<string, Milliseconds>();

	constructor(self: SteeringHost) {
		this.#self = self;
	}

	/** Time on the way of a request with its body, there and back. */
	compute(server: BackendServer, bodyBytes: number): Milliseconds {
		const trips = 1 + Math.floor(bodyBytes / bytesPerRoundTrip);
		return this.#get(server) * trips;
	}

	observe(server: BackendServer, roundTrip: Milliseconds): void {
		const known = this.#get(server);
		this.#roundTrips.set(
			server.failureDomain,
			known + gain * (Math.min(roundTrip, known * 5) - known),
		);
	}

	#get({failureDomain, region}: BackendServer): Milliseconds {
		const known = this.#roundTrips.get(failureDomain);
		if (known !== undefined) {
			return known;
		}

		if (failureDomain === this.#self.failureDomain) {
			return firstInDomain;
		}

		return region === this.#self.region ? firstInRegion : firstBetweenRegions;
	}
}
