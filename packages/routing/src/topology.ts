import type {
	Configuration,
	FailureDomainName,
	Milliseconds,
	RegionName,
} from '@parsleyvale/shared';

/** Region and failure domain of a host or backend server. */
export type Location = {
	readonly region: RegionName;
	readonly failureDomain: FailureDomainName;
};

/** One-way network delays between locations, as configured. */
export class Topology {
	readonly #intraRegionDelays = new Map<RegionName, Milliseconds>();
	readonly #linkDelays = new Map<RegionName, Map<RegionName, Milliseconds>>();

	constructor(configuration: Configuration) {
		for (const region of configuration.regions) {
			this.#intraRegionDelays.set(region.name, region.failureDomainDelayMs);
		}

		for (const link of configuration.links) {
			const [one, other] = link.between;
			this.#addLink(one, other, link.delayMs);
			this.#addLink(other, one, link.delayMs);
		}
	}

	/**
	 * Returns the round-trip time, or `undefined` if no link connects the
	 * regions.
	 */
	findRoundTrip(from: Location, to: Location): Milliseconds | undefined {
		if (from.region !== to.region) {
			return this.findRegionRoundTrip(from.region, to.region);
		}

		return from.failureDomain === to.failureDomain
			? 0
			: 2 * (this.#intraRegionDelays.get(from.region) ?? 0);
	}

	/**
	 * Returns the round-trip time between regions, or `undefined` if no link
	 * connects them.
	 */
	findRegionRoundTrip(
		from: RegionName,
		to: RegionName,
	): Milliseconds | undefined {
		if (from === to) {
			return 0;
		}

		const delay = this.#linkDelays.get(from)?.get(to);
		return delay === undefined ? undefined : 2 * delay;
	}

	#addLink(from: RegionName, to: RegionName, delay: Milliseconds): void {
		const delays =
			this.#linkDelays.get(from) ?? new Map<RegionName, Milliseconds>();
		delays.set(to, delay);
		this.#linkDelays.set(from, delays);
	}
}
