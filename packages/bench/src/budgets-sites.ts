import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

type Place = Pick<EntryHost, 'region' | 'failureDomain'>;

/** The sizes and one-way delays of one of the brief's users. */
export type Site = {
	readonly name: string;
	/** The store is in the first. */
	readonly regions: readonly string[];
	readonly slotsInRegion: number;
	getDelay(from: Place, to: Place): Milliseconds;
	getStoreDelay(host: Place): Milliseconds;
};

type SiteDelays = {
	readonly withinFailureDomain: Milliseconds;
	readonly betweenFailureDomains: Milliseconds;
	readonly betweenRegions: Milliseconds;
};

function createSite(
	name: string,
	regions: readonly string[],
	slotsInRegion: number,
	delays: SiteDelays,
): Site {
	const getDelay = (from: Place, to: Place): Milliseconds => {
		if (from.region !== to.region) {
			return delays.betweenRegions;
		}

		return from.failureDomain === to.failureDomain
			? delays.withinFailureDomain
			: delays.betweenFailureDomains;
	};

	const store = {region: regions[0]!, failureDomain: 'store'};
	return {
		name,
		regions,
		slotsInRegion,
		getDelay,
		getStoreDelay: (host) => getDelay(host, store),
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
