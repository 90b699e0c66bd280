import type {Milliseconds} from '@parsleyvale/shared';
import type {BackendServer, SteeringHost} from './model.js';

/** Round trips taken for true until a connection has shown its own. */
const firstInDomain: Milliseconds = 1;
const firstInRegion: Milliseconds = 10;
const firstBetweenRegions: Milliseconds = 60;
/** Weight of the newest round trip: about five count. */
const gain = 0.2;
/**
 * Links between regions, and between failure domains, are shared by all traffic:
 * a kilobyte over them weighs as so much time. An object is asked for again and
 * again, so that learning it near (once) must be cheaper than a body of 60 KB that
 * goes far each time: a slow run takes 0.7 to 1.2 s.
 */
const perKilobyteBetweenRegions: Milliseconds = 20;
const perKilobyteBetweenDomains: Milliseconds = 14;
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

	/** What a body weighs on the links to the server, as time. */
	computeLinkCost(
		{failureDomain, region}: BackendServer,
		bodyBytes: number,
	): Milliseconds {
		if (failureDomain === this.#self.failureDomain) {
			return 0;
		}

		const perKilobyte =
			region === this.#self.region
				? perKilobyteBetweenDomains
				: perKilobyteBetweenRegions;
		return (bodyBytes / 1000) * perKilobyte;
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
