import {createHash} from 'node:crypto';
import type {Configuration, Settings} from '@parsleyvale/shared';
import type {Child} from './child.js';
import type {Fleet, Host, ServerReadyMessage} from './fleet.js';

/** API keys of the sample's two customers. */
export const schoolKey = `pv_${'s'.repeat(43)}`;
export const readerKey = `pv_${'r'.repeat(43)}`;

/** The sample's regions; each has one failure domain, named after it. */
export const sampleRegions = ['tpe', 'sin'] as const;
export type SampleRegion = (typeof sampleRegions)[number];

const slots = 3;

export type Sample = {
	readonly servers: ReadonlyArray<Child<ServerReadyMessage>>;
	readonly hosts: readonly Host[];
	readonly configuration: Configuration;
};

export function toSampleHash(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Creates the sample's configuration for servers that are already listening. */
export function toSampleConfiguration(
	servers: ReadonlyArray<{
		region: SampleRegion;
		readyMessage: ServerReadyMessage;
	}>,
): Configuration {
	return {
		regions: sampleRegions.map((name) => ({
			name,
			failureDomains: [`${name}-a`],
			callerDelayMs: 3,
			failureDomainDelayMs: 5,
		})),
		links: [
			{
				name: 'tpe-sin',
				between: ['tpe', 'sin'],
				delayMs: 12,
				bytesPerSecond: 37_500_000,
			},
		],
		pools: [
			{
				name: 'reader-desk',
				connectCostMs: 1,
				probeCostMs: 1,
				headroom: 0,
				servers: servers.map(({region, readyMessage}) => ({
					name: readyMessage.name,
					region,
					failureDomain: `${region}-a`,
					address: readyMessage.address,
					port: readyMessage.port,
					slots,
					connections: 360,
				})),
			},
		],
		customers: [
			{name: 'school', ratePerSecond: 200, burst: 100, weight: 1},
			{name: 'reader', ratePerSecond: 20, burst: 10, weight: 1},
		],
		keys: [
			{
				name: 'school-1',
				customer: 'school',
				hash: toSampleHash(schoolKey),
				withdrawn: false,
			},
			{
				name: 'reader-1',
				customer: 'reader',
				hash: toSampleHash(readerKey),
				withdrawn: false,
			},
		],
		routes: [
			{
				name: 'entries',
				pathPrefix: '/',
				methods: ['GET', 'HEAD'],
				pool: 'reader-desk',
				access: 'key',
				idempotent: true,
				deadlineMs: 5000,
				class: 'look-up',
			},
			{
				name: 'purchases',
				pathPrefix: '/echo',
				methods: ['GET', 'POST', 'PUT'],
				pool: 'reader-desk',
				access: 'key',
				idempotent: false,
				deadlineMs: 20_000,
				class: 'purchase',
			},
			{
				name: 'word-of-the-day',
				pathPrefix: '/open',
				methods: ['GET'],
				pool: 'reader-desk',
				access: 'open',
				idempotent: true,
				deadlineMs: 5000,
				class: 'open',
			},
		],
		shifts: [],
		drains: [],
	};
}

/** Starts the store, the servers and one entry host per region, and applies the configuration. */
export async function startSample(
	fleet: Fleet,
	serversPerRegion = 2,
	overrides: Partial<Settings> = {},
	nodeOptions: readonly string[] = [],
): Promise<Sample> {
	await fleet.startStore();
	const servers = await Promise.all(
		sampleRegions.flatMap((region) =>
			Array.from({length: serversPerRegion}, async (_, index) => {
				const child = await fleet.startServer(
					`desk-${region}-${index + 1}`,
					'127.0.0.1',
					['--slots', String(slots)],
				);
				return {region, child, readyMessage: child.readyMessage};
			}),
		),
	);
	const hosts = await Promise.all(
		sampleRegions.map(async (region) =>
			fleet.startHost(
				{
					name: `${region}-a-1`,
					region,
					failureDomain: `${region}-a`,
					address: '127.0.0.1',
				},
				overrides,
				nodeOptions,
			),
		),
	);
	const configuration = toSampleConfiguration(servers);
	await fleet.applyConfiguration(hosts[0]!, 0, configuration);
	for (const host of hosts) {
		await fleet.waitUntilReady(host);
		await fleet.waitUntilLive(host, hosts.length);
	}

	return {
		servers: servers.map((server) => server.child),
		hosts,
		configuration,
	};
}
