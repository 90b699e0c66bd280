import {computeDelta, mergeDelta} from '@parsleyvale/configuration';
import {
	configurationSchema,
	type VersionedConfiguration,
} from '@parsleyvale/shared';

const repeats = 5;

/** What one change costs in a configuration of one size. */
export type ConfigurationMeasurement = {
	readonly customers: number;
	readonly servers: number;
	readonly wholeBytes: number;
	readonly deltaBytes: number;
	/** To work a delta out and to put it in force. */
	readonly computeMilliseconds: number;
	readonly mergeMilliseconds: number;
};

function toIndexes(count: number): number[] {
	return Array.from({length: count}, (_, index) => index);
}

function createConfigurationOf(
	customers: number,
	servers: number,
): VersionedConfiguration {
	const configuration = configurationSchema.parse({
		regions: [{name: 'tpe', failureDomains: ['tpe-a']}],
		pools: toIndexes(Math.max(1, servers / 16)).map((pool) => ({
			name: `pool-${pool}`,
			servers: toIndexes(16).map((server) => ({
				name: `server-${pool}-${server}`,
				region: 'tpe',
				failureDomain: 'tpe-a',
				address: '127.0.0.1',
				port: 8080,
				slots: 3,
				connections: 360,
			})),
		})),
		customers: toIndexes(customers).map((customer) => ({
			name: `customer-${customer}`,
			ratePerSecond: 100,
			burst: 200,
		})),
		keys: toIndexes(customers).map((customer) => ({
			name: `key-${customer}`,
			customer: `customer-${customer}`,
			hash: customer.toString(16).padStart(64, '0'),
		})),
	});
	return {version: 1, operationId: 'first', configuration};
}

function runTimed(run: () => unknown): number {
	run();
	const started = performance.now();
	for (let count = 0; count < repeats; count++) {
		run();
	}

	return (performance.now() - started) / repeats;
}

/** Changes the rate of one customer. */
export function runConfigurationBenchmark(
	customers: number,
	servers: number,
): ConfigurationMeasurement {
	const before = createConfigurationOf(customers, servers);
	const after = structuredClone(before);
	after.version = 2;
	after.configuration.customers[0]!.ratePerSecond = 101;
	const delta = computeDelta(before, after);
	return {
		customers,
		servers,
		wholeBytes: JSON.stringify(after).length,
		deltaBytes: JSON.stringify(delta).length,
		computeMilliseconds: runTimed(() => computeDelta(before, after)),
		mergeMilliseconds: runTimed(() => mergeDelta(before, delta)),
	};
}
