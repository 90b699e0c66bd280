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
	/** Callers of one customer are sent to the same few hosts. */
	readonly customer: string | undefined;
	readonly callerAddress: string;
	readonly region: string;
};

const sparesInRegion = 1;
const sparesElsewhere = 2;

/** A customer gets this many times its share of the hosts. */
const roominess = 2;

/**
 * How many hosts of a region serve a customer: few, so that its rate is in few
 * shares, yet more for one that makes up much of all traffic.
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

	const part = found.ratePerSecond / total;
	const count = Math.ceil(roominess * hostCount * part);
	return Math.min(hostCount, Math.max(1, count));
}

function getDelay(
	configuration: Configuration | undefined,
	from: string,
	to: string,
): number {
	if (from === to) {
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
 * The hosts to name to a caller, best first: the customer's few hosts in the
 * nearest region, in an order that differs between callers, then spares.
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
			const own = ranked.slice(0, count);
			chosen.push(
				...rankHosts(`${key}/${callerAddress}`, own),
				...ranked.slice(count, count + sparesInRegion),
			);
		} else if (index <= sparesElsewhere) {
			chosen.push(ranked[0]!);
		}
	}

	return chosen.map(({host}) => host);
}
