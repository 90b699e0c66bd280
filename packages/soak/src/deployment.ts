import {
	createOperatorConfiguration,
	createServerEntry,
	createSettingsFile,
} from './examples.js';
import {bounds} from './oracle.js';

/** A customer with a rate limit, whose callers send several times that rate. */
export const limitedCustomer = {customer: 'limited', perSecond: 20, burst: 20};
/** Keys of customers without a rate limit; `revoke` faults revoke them in order. */
export const unlimitedKeys = ['key-1', 'key-2', 'key-3', 'key-4', 'key-5'];

const failureDomains = ['a-1', 'a-2', 'b-1', 'b-2'];
const regions = {'a-1': 'a', 'a-2': 'a', 'b-1': 'b', 'b-2': 'b'};

/** The failure domain that `evacuate` faults affect; the others have enough capacity for the whole load. */
export const evacuatedFailureDomain = failureDomains[0]!;

/** Returns the failure domain of the server with this number. */
export function findFailureDomain(number: number): string {
	return failureDomains[number % failureDomains.length]!;
}

export function createConfiguration(
	version: number,
	revokedKeys: ReadonlySet<string>,
): unknown {
	const customers = unlimitedKeys.map((key) => ({
		name: `customer of ${key}`,
		api_keys: revokedKeys.has(key) ? [] : [key],
	}));
	return createOperatorConfiguration({
		version: `r${version}`,
		tenants: [
			{
				name: limitedCustomer.customer,
				api_keys: [`key-${limitedCustomer.customer}`],
				rate_per_s: limitedCustomer.perSecond,
				burst: limitedCustomer.burst,
			},
			...customers,
		],
	});
}

export function createBackendEntry(options: {
	readonly number: number;
	readonly address: string;
	readonly state: 'ready' | 'draining';
}): unknown {
	const {number, address, state} = options;
	const zone = findFailureDomain(number);
	return createServerEntry({address, zone, state, slots: 4});
}

export function createDaemonSettings(options: {
	readonly name: string;
	readonly index: number;
	readonly host: string;
	readonly ports: readonly number[];
	readonly store: string;
}): Record<string, unknown> {
	const {name, index, host, ports, store} = options;
	const [callerPort, readinessPort, directoryPort, peerPort] = ports;
	const zone = failureDomains[index % failureDomains.length]!;
	return createSettingsFile({
		node_name: name,
		ip: host,
		zone,
		region: regions[zone as keyof typeof regions],
		zones: regions,
		listen: {
			front: `${host}:${callerPort}`,
			ready: `${host}:${readinessPort}`,
			directory: `${host}:${directoryPort}`,
		},
		internal_ports: [peerPort, peerPort],
		bounds: [
			`revoke_s=${bounds.revocationMs / 1000}`,
			'strict_revoke=true',
			'grace_s=6',
			`quota_window_s=${bounds.rateWindowMs / 1000}`,
			`quota_overage=${bounds.rateOverageRatio}`,
			`quota_slack=${bounds.rateSlack}`,
		],
		platform: {address: store},
	});
}
