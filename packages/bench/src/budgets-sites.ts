import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

type Location = Pick<EntryHost, 'region' | 'failureDomain'>;

/** The size and the one-way network delays of a deployment. */
export type Site = {
	readonly name: string;
	/** The store is in the first region. */
	readonly regions: readonly string[];
	readonly slotsPerRegion: number;
	getDelay(from: Location, to: Location): Milliseconds;
	getStoreDelay(host: Location): Milliseconds;
};

type SiteDelays = {
	readonly withinFailureDomain: Milliseconds;
	readonly betweenFailureDomains: Milliseconds;
	readonly betweenRegions: Milliseconds;
};

function createSite(
	name: string,
	regions: readonly string[],
	slotsPerRegion: number,
	delays: SiteDelays,
): Site {
	const getDelay = (from: Location, to: Location): Milliseconds => {
		if (from.region !== to.region) {
			return delays.betweenRegions;
		}

		return from.failureDomain === to.failureDomain
			? delays.withinFailureDomain
			: delays.betweenFailureDomains;
	};

	const storeLocation = {region: regions[0]!, failureDomain: 'store'};
	return {
		name,
		regions,
		slotsPerRegion,
		getDelay,
		getStoreDelay: (host) => getDelay(host, storeLocation),
	};
}

/** Hanlin's reader-desk: 24 servers of 3 slots in three regions. */
export const hanlin = createSite('hanlin', ['tpe', 'sin', 'fra'], 24, {
	withinFailureDomain: 1,
	betweenFailureDomains: 5,
	betweenRegions: 12,
});

/** Tintwell's formula-desk: 24 servers of 4 slots in three regions. */
export const tintwell = createSite(
	'tintwell',
	['scot-east', 'scot-west', 'scot-north'],
	32,
	{withinFailureDomain: 1, betweenFailureDomains: 4, betweenRegions: 55},
);
