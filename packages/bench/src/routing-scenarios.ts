import {
	configurationSchema,
	second,
	type Configuration,
	type Milliseconds,
	type Server,
	type Shift,
} from '@parsleyvale/shared';
import type {ServerBehaviour} from './routing-fake-server.js';

/** The topology and the network delays of a fleet with one server pool. */
export type FleetProfile = {
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

export const hanlin: FleetProfile = {
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

export const tintwell: FleetProfile = {
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

/** Rate cap of the shift in the `cold shift` scenario. */
export const shiftCap = {perSecond: 150, burst: 20};
const shiftRamp: Milliseconds = 4 * second;
const shiftShare = 0.5;
/** From this time on, the target region of the shift is cold for `coldShiftDuration`. */
const coldShiftStartsAt: Milliseconds = 5 * second;
const coldShiftDuration: Milliseconds = 3 * second;

const serversPerDomain = 4;
/** Time at which the fault of a scenario begins. */
export const faultStartsAt: Milliseconds = 2 * second;
const reportLag: Milliseconds = second;
const slowdownFactor = 10;
const coldStartSlowdown = 5;
const coldShiftSlowdown = 3;
const coldStartDuration: Milliseconds = 5 * second;
const deadline: Milliseconds = second;

/** Creates the configuration of the fleet without the excluded servers. */
export function createFleetConfiguration(
	profile: FleetProfile,
	excludedServers: readonly string[] = [],
	shifts: readonly Shift[] = [],
): Configuration {
	return configurationSchema.parse({
		regions: profile.regions.map((name) => ({
			name,
			failureDomains: listFailureDomains(name),
			callerDelayMs: profile.callerDelay,
			failureDomainDelayMs: profile.failureDomainDelay,
		})),
		links: profile.regions.flatMap((region, index) =>
			profile.regions.slice(index + 1).map((otherRegion) => ({
				name: `${region}-${otherRegion}`,
				between: [region, otherRegion],
				delayMs: profile.regionDelay,
				bytesPerSecond: profile.linkBytesPerSecond,
			})),
		),
		pools: [
			{
				name: profile.pool,
				servers: listServers(profile).filter(
					(server) => !excludedServers.includes(server.name),
				),
			},
		],
		shifts,
		routes: [
			{
				name: 'look-up',
				pathPrefix: '/',
				methods: ['GET'],
				pool: profile.pool,
				access: 'open',
				idempotent: true,
				deadlineMs: deadline,
			},
		],
	});
}

/** Lists the shifts that start together with the fault of the scenario. */
export function listShifts(
	profile: FleetProfile,
	scenario: ScenarioName,
): Shift[] {
	return scenario === 'cold shift'
		? [
				{
					name: 'move',
					pool: profile.pool,
					from: profile.regions[0]!,
					to: profile.regions[1]!,
					share: shiftShare,
					capPerSecond: shiftCap.perSecond,
					capBurst: shiftCap.burst,
					rampMs: shiftRamp,
					state: 'running',
				},
			]
		: [];
}

/** Lists the servers that join only when the fault of the scenario begins. */
export function listLateJoiningServers(
	profile: FleetProfile,
	scenario: ScenarioName,
): string[] {
	return scenario === 'cold start'
		? listServers(profile)
				.filter((server) => server.name.endsWith('-a-3'))
				.map((server) => server.name)
		: [];
}

/** Creates the behaviour of a server in the scenario. */
export function createBehaviour(
	profile: FleetProfile,
	scenario: ScenarioName,
	server: Server,
	random: () => number,
): ServerBehaviour {
	const deadDomain = listFailureDomains(profile.regions[0]!)[1]!;
	const slowServer = `${listFailureDomains(profile.regions[0]!)[0]!}-0`;
	const history: Array<{at: Milliseconds; load: number}> = [];
	return {
		computeSlowdown(now) {
			if (scenario === 'one slow') {
				return server.name === slowServer && now >= faultStartsAt
					? slowdownFactor
					: 1;
			}

			if (scenario === 'cold shift') {
				const isCold =
					server.region === profile.regions[1] &&
					now >= coldShiftStartsAt &&
					now < coldShiftStartsAt + coldShiftDuration;
				return isCold ? coldShiftSlowdown : 1;
			}

			return listLateJoiningServers(profile, scenario).includes(server.name)
				? computeColdStartSlowdown(now - faultStartsAt)
				: 1;
		},
		isDown: (now) =>
			scenario === 'dead domain' &&
			server.failureDomain === deadDomain &&
			now >= faultStartsAt,
		computeReportedLoad(load, now) {
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

function computeColdStartSlowdown(age: Milliseconds): number {
	const warmUpProgress = Math.min(1, Math.max(0, age / coldStartDuration));
	return coldStartSlowdown - (coldStartSlowdown - 1) * warmUpProgress;
}

function listServers(profile: FleetProfile): Server[] {
	return profile.regions.flatMap((region) =>
		listFailureDomains(region).flatMap((failureDomain) =>
			Array.from({length: serversPerDomain}, (_, index) => ({
				name: `${failureDomain}-${index}`,
				region,
				failureDomain,
				address: '127.0.0.1',
				port: 8000 + index,
				slots: profile.slots,
				connections: profile.connections,
			})),
		),
	);
}

function listFailureDomains(region: string): string[] {
	return [`${region}-a`, `${region}-b`];
}
