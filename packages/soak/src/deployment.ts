import {
	createOperatorConfiguration,
	createServerEntry,
	createSettingsFile,
} from './examples.js';
import {bounds} from './oracle.js';

/** A customer with a limit, which asks for several times of it. */
export const limited = {customer: 'limited', perSecond: 20, burst: 20};
/** Keys of customers without a limit; the first ones are withdrawn in turn. */
export const openKeys = ['key-1', 'key-2', 'key-3', 'key-4', 'key-5'];

const failureDomains = ['a-1', 'a-2', 'b-1', 'b-2'];
const regions = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b'};

/** The failure domain that is evacuated; others have room for all. */
export const evacuated = failureDomains[0]!;

/** The failure domain of a server by its number. */
export function findFailureDomain(number: number): string {
	return failureDomains[number % failureDomains.length]!;
}

export function createConfiguration(
	version: number,
	withdrawn: ReadonlySet<string>,
): unknown {
	const customers = openKeys.map((key) => ({
		name: `customer of ${key}`,
		api_keys: withdrawn.has(key) ? [] : [key],
	}));
	return createOperatorConfiguration({
		version: `r${version}`,
		tenants: [
			{
				name: limited.customer,
				api_keys: [`key-${limited.customer}`],
				rate_per_s: limited.perSecond,
				burst: limited.burst,
			},
			...customers,
		],
	});
}

export function createEntry(options: {
	readonly number: number;
	readonly address: string;
	readonly state: 'ready' | 'draining';
}): unknown {
	const {number, address, state} = options;
	const zone = findFailureDomain(number);
	return createServerEntry({address, zone, state, slots: 4});
}

export function toSettings(options: {
	readonly name: string;
	readonly index: number;
	readonly host: string;
	readonly ports: readonly number[];
	readonly store: string;
}): Record<string, unknown> {
	const {name, index, host, ports, store} = options;
	const [callers, readiness, lookUps, peers] = ports;
	const zone = failureDomains[index % failureDomains.length]!;
	return createSettingsFile({
		node_name: name,
		ip: host,
		zone,
		region: regions[zone as keyof typeof regions],
		zones: regions,
		listen: {
			front: `${host}:${callers}`,
			ready: `${host}:${readiness}`,
			directory: `${host}:${lookUps}`,
		},
		internal_ports: [peers, peers],
		bounds: [
			`revoke_s=${bounds.revocation / 1000}`,
			'strict_revoke=true',
			'grace_s=6',
			`quota_window_s=${bounds.window / 1000}`,
			`quota_overage=${bounds.overage}`,
			`quota_slack=${bounds.slack}`,
		],
		platform: {address: store},
	});
}
