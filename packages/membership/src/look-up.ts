import type {Configuration, EntryHost} from '@parsleyvale/shared';
import {rankHosts} from './rank-hosts.js';

/** @internal */
export type LookUpHost = {
	readonly name: string;
	readonly weight: number;
	readonly host: EntryHost;
};

/** @internal */
export type LookUp = {
	/** All callers of a customer get the same few hosts. */
	readonly customer: string | undefined;
	readonly callerAddress: string;
	readonly region: string;
};

/** Hosts of the nearest region that follow the customer's hosts. */
const fallbackHostsInRegion = 1;

/** Other regions, each of which adds its best host. */
const fallbackRegionCount = 2;

/** Hosts of a customer, relative to its share of the total request rate. */
const hostCountFactor = 2;

/**
 * The number of hosts in a region that serve a customer. It is small, so that
 * the customer's rate is split into few shares, and grows with the customer's
 * share of the total rate.
 */
function computeHostCount(
	customer: string | undefined,
	hostCount: number,
	configuration: Configuration | undefined,
): number {
	const customers = configuration?.customers ?? [];
	const found = customers.find(({name}) => name === customer);
	if (found === undefined) {
		return hostCount;
	}

	let total = 0;
	for (const {ratePerSecond} of customers) {
		total += ratePerSecond;
	}

	const fraction = found.ratePerSecond / total;
	const count = Math.ceil(hostCountFactor * hostCount * fraction);
	return Math.min(hostCount, Math.max(1, count));
}

function getDelay(
	configuration: Configuration | undefined,
	from: string,
	to: string,
): number {
	if (from === to) {
		// Sorts before all other regions.
		return -1;
	}

	const link = configuration?.links.find(
		({between}) => between.includes(from) && between.includes(to),
	);
	return link?.delayMs ?? Number.POSITIVE_INFINITY;
}

function listRegions(
	hosts: readonly LookUpHost[],
	from: string,
	configuration: Configuration | undefined,
): string[] {
	const names = [...new Set(hosts.map(({host}) => host.region))].sort();
	const delays = new Map(
		names.map((name) => [name, getDelay(configuration, from, name)]),
	);
	return names.sort((a, b) =>
		delays.get(a) === delays.get(b) ? 0 : delays.get(a)! - delays.get(b)!,
	);
}

/**
 * Chooses the hosts for a caller, best first: the customer's hosts in the
 * nearest region, in an order that differs between callers, then fallbacks.
 *
 * @internal
 */
export function chooseHosts(
	lookUp: LookUp,
	hosts: readonly LookUpHost[],
	configuration: Configuration | undefined,
): EntryHost[] {
	const {customer, callerAddress} = lookUp;
	const key = customer ?? callerAddress;
	const regions = listRegions(hosts, lookUp.region, configuration);
	const chosen: LookUpHost[] = [];
	for (const [index, region] of regions.entries()) {
		const local = hosts.filter(({host}) => host.region === region);
		const ranked = rankHosts(key, local);
		if (index === 0) {
			const count = computeHostCount(customer, local.length, configuration);
			const customerHosts = ranked.slice(0, count);
			chosen.push(
				...rankHosts(`${key}/${callerAddress}`, customerHosts),
				...ranked.slice(count, count + fallbackHostsInRegion),
			);
		} else if (index <= fallbackRegionCount) {
			chosen.push(ranked[0]!);
		}
	}

	return chosen.map(({host}) => host);
}
