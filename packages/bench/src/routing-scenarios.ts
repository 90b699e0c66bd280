import {
	configurationSchema,
	second,
	type Configuration,
	type Milliseconds,
	type Server,
	type Shift,
} from '@parsleyvale/shared';
import type {ServerBehaviour} from './routing-fake-server.js';

/** One of the two fleets of the brief, with one of its pools. */
export type FleetSize = {
	readonly name: string;
	readonly regions: readonly string[];
	readonly callerDelay: Milliseconds;
	readonly failureDomainDelay: Milliseconds;
	readonly regionDelay: Milliseconds;
	readonly linkBytesPerSecond: number;
	readonly pool: string;
	readonly slots: number;
	readonly connections: number;
};

export const hanlin: FleetSize = {
	name: 'Hanlin',
	regions: ['tpe', 'sin', 'fra'],
	callerDelay: 3,
	failureDomainDelay: 5,
	regionDelay: 12,
	linkBytesPerSecond: 37_500_000,
	pool: 'reader-desk',
	slots: 3,
	connections: 360,
};

export const tintwell: FleetSize = {
	name: 'Tintwell',
	regions: ['scot-east', 'scot-west', 'scot-north'],
	callerDelay: 8,
	failureDomainDelay: 4,
	regionDelay: 55,
	linkBytesPerSecond: 500_000_000,
	pool: 'formula-desk',
	slots: 4,
	connections: 330,
};

export type ScenarioName =
	| 'calm'
	| 'lag'
	| 'lies'
	| 'one slow'
	| 'cold start'
	| 'dead domain'
	| 'cold shift';

export const scenarioNames: readonly ScenarioName[] = [
	'calm',
	'lag',
	'lies',
	'one slow',
	'cold start',
	'dead domain',
];

/** The shift of the scenario with a cold target. */
export const shiftCap = {perSecond: 150, burst: 20};
const shiftRamp: Milliseconds = 4 * second;
const shiftShare = 0.5;
/** The target of the shift is cold for a while after this time. */
const coldShiftAt: Milliseconds = 5 * second;
const coldShiftTime: Milliseconds = 3 * second;

const serversPerDomain = 4;
/** When the fault of a scenario begins. */
export const faultAt: Milliseconds = 2 * second;
const reportLag: Milliseconds = second;
const slowness = 10;
const coldSlowness = 5;
const coldShiftSlowness = 3;
const coldTime: Milliseconds = 5 * second;
const deadline: Milliseconds = second;

/** The fleet's configuration; servers of `without` are left out. */
export function createFleetConfiguration(
	size: FleetSize,
	without: readonly string[] = [],
	shifts: readonly Shift[] = [],
): Configuration {
	return configurationSchema.parse({
		regions: size.regions.map((name) => ({
			name,
			failureDomains: toDomains(name),
			callerDelayMs: size.callerDelay,
			failureDomainDelayMs: size.failureDomainDelay,
		})),
		links: size.regions.flatMap((one, index) =>
			size.regions.slice(index + 1).map((other) => ({
				name: `${one}-${other}`,
				between: [one, other],
				delayMs: size.regionDelay,
				bytesPerSecond: size.linkBytesPerSecond,
			})),
		),
		pools: [
			{
				name: size.pool,
				servers: listServers(size).filter(
					(server) => !without.includes(server.name),
				),
			},
		],
		shifts,
		routes: [
			{
				name: 'look-up',
				pathPrefix: '/',
				methods: ['GET'],
				pool: size.pool,
				access: 'open',
				idempotent: true,
				deadlineMs: deadline,
			},
		],
	});
}

/** The shifts that begin when the fault of the scenario does. */
export function listShifts(size: FleetSize, scenario: ScenarioName): Shift[] {
	return scenario === 'cold shift'
		? [
				{
					name: 'move',
					pool: size.pool,
					from: size.regions[0]!,
					to: size.regions[1]!,
					share: shiftShare,
					capPerSecond: shiftCap.perSecond,
					capBurst: shiftCap.burst,
					rampMs: shiftRamp,
					state: 'running',
				},
			]
		: [];
}

/** Servers that join only when the fault of the scenario begins. */
export function listLateServers(
	size: FleetSize,
	scenario: ScenarioName,
): string[] {
	return scenario === 'cold start'
		? listServers(size)
				.filter((server) => server.name.endsWith('-a-3'))
				.map((server) => server.name)
		: [];
}

/** How the server of this index behaves. */
export function createBehaviour(
	size: FleetSize,
	scenario: ScenarioName,
	server: Server,
	random: () => number,
): ServerBehaviour {
	const deadDomain = toDomains(size.regions[0]!)[1]!;
	const slowName = `${toDomains(size.regions[0]!)[0]!}-0`;
	const history: Array<{at: Milliseconds; load: number}> = [];
	return {
		computeSlowness(now) {
			if (scenario === 'one slow') {
				return server.name === slowName && now >= faultAt ? slowness : 1;
			}

			if (scenario === 'cold shift') {
				const isCold =
					server.region === size.regions[1] &&
					now >= coldShiftAt &&
					now < coldShiftAt + coldShiftTime;
				return isCold ? coldShiftSlowness : 1;
			}

			return listLateServers(size, scenario).includes(server.name)
				? computeColdSlowness(now - faultAt)
				: 1;
		},
		isDead: (now) =>
			scenario === 'dead domain' &&
			server.failureDomain === deadDomain &&
			now >= faultAt,
		computeReport(load, now) {
			if (scenario === 'lies') {
				return Math.floor(random() * 3 * server.slots);
			}

			if (scenario !== 'lag') {
				return load;
			}

			history.push({at: now, load});
			while ((history[1]?.at ?? now) < now - reportLag) {
				history.shift();
			}

			return history[0]!.load;
		},
	};
}

function computeColdSlowness(age: Milliseconds): number {
	const warmth = Math.min(1, Math.max(0, age / coldTime));
	return coldSlowness - (coldSlowness - 1) * warmth;
}

function listServers(size: FleetSize): Server[] {
	return size.regions.flatMap((region) =>
		toDomains(region).flatMap((failureDomain) =>
			Array.from({length: serversPerDomain}, (_, index) => ({
				name: `${failureDomain}-${index}`,
				region,
				failureDomain,
				address: '127.0.0.1',
				port: 8000 + index,
				slots: size.slots,
				connections: size.connections,
			})),
		),
	);
}

function toDomains(region: string): string[] {
	return [`${region}-a`, `${region}-b`];
}
