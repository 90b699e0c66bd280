import type {
	Configuration,
	FailureDomainName,
	Milliseconds,
	RegionName,
} from '@parsleyvale/shared';

/** Where a host or a backend server stands. */
export type Place = {
	readonly region: RegionName;
	readonly failureDomain: FailureDomainName;
};

/** One-way delays between places, as the configuration states them. */
export class Topology {
	readonly #insideDelays = new Map<RegionName, Milliseconds>();
	readonly #linkDelays = new Map<RegionName, Map<RegionName, Milliseconds>>();

	constructor(configuration: Configuration) {
		for (const region of configuration.regions) {
			this.#insideDelays.set(region.name, region.failureDomainDelayMs);
		}

		for (const link of configuration.links) {
			const [one, other] = link.between;
			this.#addLink(one, other, link.delayMs);
			this.#addLink(other, one, link.delayMs);
		}
	}

	/** There and back; undefined where no link leads. */
	findRoundTrip(from: Place, to: Place): Milliseconds | undefined {
		if (from.region !== to.region) {
			return this.findRegionRoundTrip(from.region, to.region);
		}

		return from.failureDomain === to.failureDomain
			? 0
			: 2 * (this.#insideDelays.get(from.region) ?? 0);
	}

	/** There and back between regions; undefined where no link leads. */
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
