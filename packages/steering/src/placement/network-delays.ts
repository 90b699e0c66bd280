import type {Milliseconds} from '@parsleyvale/shared';
import type {BackendServer, SteeringHost} from '../model.js';

/** Round trip times assumed until one has been measured. */
const initialRoundTripInDomain: Milliseconds = 1;
const initialRoundTripInRegion: Milliseconds = 10;
const initialRoundTripBetweenRegions: Milliseconds = 60;
/** Weight of the newest sample in the moving average of the round trip time: about five count. */
const roundTripGain = 0.2;
/**
 * Cost, as milliseconds per kilobyte, of links between regions and between failure
 * domains: processing an uncached object (0.7 to 1.2 s) on a nearby server costs
 * less than sending a body of 60 KB to a distant one for each request.
 */
const costPerKilobyteBetweenRegions: Milliseconds = 20;
const costPerKilobyteBetweenDomains: Milliseconds = 14;
/** Bytes that a new connection transfers in one round trip: an initial window of ten segments. */
const bytesPerRoundTrip = 14_600;

/** Estimates round trip times from this host to the servers of each failure domain. */
export class NetworkDelays {
	readonly #self: SteeringHost;
	readonly #roundTrips = new Map<string, Milliseconds>();

	constructor(self: SteeringHost) {
		this.#self = self;
	}

	/** Network time of a request with its body and of the answer. */
	compute(server: BackendServer, bodyBytes: number): Milliseconds {
		const trips = 1 + Math.floor(bodyBytes / bytesPerRoundTrip);
		return this.#getRoundTrip(server) * trips;
	}

	/** Cost, as time, of transferring the bodies of the request and its response over the links to the server. */
	computeLinkCost(
		{failureDomain, region}: BackendServer,
		bytes: number,
	): Milliseconds {
		if (failureDomain === this.#self.failureDomain) {
			return 0;
		}

		const perKilobyte =
			region === this.#self.region
				? costPerKilobyteBetweenDomains
				: costPerKilobyteBetweenRegions;
		return (bytes / 1000) * perKilobyte;
	}

	observe(server: BackendServer, roundTrip: Milliseconds): void {
		const estimate = this.#getRoundTrip(server);
		this.#roundTrips.set(
			server.failureDomain,
			estimate + roundTripGain * (Math.min(roundTrip, estimate * 5) - estimate),
		);
	}

	#getRoundTrip({failureDomain, region}: BackendServer): Milliseconds {
		const measured = this.#roundTrips.get(failureDomain);
		if (measured !== undefined) {
			return measured;
		}

		if (failureDomain === this.#self.failureDomain) {
			return initialRoundTripInDomain;
		}

		return region === this.#self.region
			? initialRoundTripInRegion
			: initialRoundTripBetweenRegions;
	}
}
