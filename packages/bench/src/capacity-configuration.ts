import {computeDelta, mergeDelta} from '@parsleyvale/configuration';
import {
	configurationSchema,
	type VersionedConfiguration,
} from '@parsleyvale/shared';

const repeatCount = 5;

/** Cost of one change to a configuration of the given size. */
export type ConfigurationMeasurement = {
	readonly customers: number;
	readonly servers: number;
	readonly wholeBytes: number;
	readonly deltaBytes: number;
	/** Time to compute the delta and, below, to merge it. */
	readonly computeMilliseconds: number;
	readonly mergeMilliseconds: number;
};

function toIndexes(count: number): number[] {
	return Array.from({length: count}, (_, index) => index);
}

function createConfiguration(
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

function measureMilliseconds(run: () => unknown): number {
	run();
	const startedAt = performance.now();
	for (let count = 0; count < repeatCount; count++) {
		run();
	}

	return (performance.now() - startedAt) / repeatCount;
}

/** Measures the change of a single customer's rate. */
export function runConfigurationBenchmark(
	customers: number,
	servers: number,
): ConfigurationMeasurement {
	const before = createConfiguration(customers, servers);
	const after = structuredClone(before);
	after.version = 2;
	after.configuration.customers[0]!.ratePerSecond = 101;
	const delta = computeDelta(before, after);
	return {
		customers,
		servers,
		wholeBytes: JSON.stringify(after).length,
		deltaBytes: JSON.stringify(delta).length,
		computeMilliseconds: measureMilliseconds(() => computeDelta(before, after)),
		mergeMilliseconds: measureMilliseconds(() => mergeDelta(before, delta)),
	};
}
