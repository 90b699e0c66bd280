import {
	configurationSchema,
	type Configuration,
	type Drain,
	type Server,
	type Shift,
} from '@parsleyvale/shared';

const regionNames = ['tpe', 'sin', 'fra'];

/**
 * Creates a configuration of three regions with servers in two failure domains
 * each.
 */
export function createTestConfiguration(
	options: {
		readonly serversPerDomain?: number;
		readonly slots?: number;
		readonly shifts?: readonly Shift[];
		readonly drains?: readonly Drain[];
		readonly headroom?: number;
	} = {},
): Configuration {
	return configurationSchema.parse({
		regions: regionNames.map((name) => ({
			name,
			failureDomains: [`${name}-a`, `${name}-b`],
			failureDomainDelayMs: 5,
			callerDelayMs: 3,
		})),
		links: [
			createLink('tpe', 'sin'),
			createLink('tpe', 'fra'),
			createLink('sin', 'fra'),
		],
		pools: [
			{
				name: 'reader-desk',
				servers: regionNames.flatMap((region) =>
					createServers(
						region,
						options.serversPerDomain ?? 2,
						options.slots ?? 2,
					),
				),
				headroom: options.headroom ?? 0,
			},
		],
		routes: [
			{
				name: 'entries',
				pathPrefix: '/entries',
				methods: ['GET'],
				pool: 'reader-desk',
				idempotent: true,
				deadlineMs: 2000,
			},
		],
		shifts: options.shifts ?? [],
		drains: options.drains ?? [],
	});
}

function createLink(one: string, other: string): object {
	return {
		name: `${one}-${other}`,
		between: [one, other],
		delayMs: 12,
		bytesPerSecond: 37_500_000,
	};
}

function createServers(
	region: string,
	perDomain: number,
	slots: number,
): Server[] {
	return ['a', 'b'].flatMap((domain) =>
		Array.from({length: perDomain}, (_, index) => ({
			name: `${region}-${domain}-${index}`,
			region,
			failureDomain: `${region}-${domain}`,
			address: '127.0.0.1',
			port: 8000 + index,
			slots,
			connections: 360,
		})),
	);
}
