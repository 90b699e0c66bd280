import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringRoute} from '../../src/index.js';
import {
	createConfiguration,
	createCustomer,
	createRoute,
} from './configuration.js';
import {FleetSimulation, type Outcome} from './fleet-simulation.js';

/** A quarter of deployment R of docs/design/hard-load.md. */
const regions = ['east', 'west', 'north'];
const uncachedTimes = {deposit: 600, history: 3520, seat: 880};
const customers = Array.from(
	{length: 12},
	(_value, index) => `customer-${index}`,
);
export const floodingCustomer = 'customer-3';
export const burstStart: Milliseconds = 12_000;
export const burstEnd: Milliseconds = 20_000;
const end: Milliseconds = 24_000;
const immediateRepeats = 6;

export type RouteName = keyof typeof uncachedTimes;

type Stream = {
	readonly route: RouteName;
	readonly perSecond: number;
	readonly burstFactor: number;
	/** Objects requested in each region. */
	readonly objects: number;
};

/** Cuts half of the hosts off from all others from the start of the burst on; they still confirm the configuration at the store. */
export function partitionHalf(simulation: FleetSimulation): void {
	simulation.schedule(burstStart, () => {
		for (const entry of simulation.hosts.slice(
			0,
			simulation.hosts.length / 2,
		)) {
			entry.isCutOff = true;
		}
	});
}

export type HardLoadOptions = {
	readonly seed: number;
	readonly isLoadControlRequired: boolean;
	readonly streams?: readonly Stream[];
	readonly serversPerRegion?: readonly number[];
	/** Factor of one customer's requests during the burst. */
	readonly floodFactor?: number;
	/** The route of these requests; undefined: all routes. */
	readonly floodedRoute?: RouteName;
	/** Fraction of callers that repeat refused requests immediately and often. */
	readonly impatientFraction?: number;
	readonly lossRate?: number;
	readonly disturb?: (simulation: FleetSimulation) => void;
};

/** What a caller got in the end, including its repeats. */
export type CallerResult = {
	readonly route: RouteName;
	readonly customer: string;
	readonly isImpatient: boolean;
	readonly sentAt: Milliseconds;
	readonly outcomes: Outcome[];
	result: 'in time' | 'late' | 'refused';
};

export const payments: readonly Stream[] = [
	{route: 'deposit', perSecond: 44, burstFactor: 1.6, objects: 20},
	{route: 'history', perSecond: 35, burstFactor: 2.3, objects: 60},
];

/** Deposits in addition to seat look-ups, on servers with slots to spare. */
export const seats: readonly Stream[] = [
	{route: 'deposit', perSecond: 44, burstFactor: 1.6, objects: 20},
	{route: 'seat', perSecond: 140, burstFactor: 1, objects: 100},
];

const routes: readonly SteeringRoute[] = [
	createRoute({
		name: 'deposit',
		pathPrefix: '/deposit/',
		isIdempotent: false,
		latencyObjectiveMs: 408,
		timeoutMs: 3064,
		priority: 0,
	}),
	createRoute({
		name: 'seat',
		pathPrefix: '/seat/',
		latencyObjectiveMs: 603,
		timeoutMs: 4022,
		priority: 1,
	}),
	createRoute({
		name: 'history',
		pathPrefix: '/history/',
		latencyObjectiveMs: 4003,
		timeoutMs: 20_016,
		priority: 2,
	}),
];

/** Runs the load with a burst, and returns what the callers of the burst got. */
export function runHardLoad(options: HardLoadOptions): CallerResult[] {
	const {
		seed,
		isLoadControlRequired,
		serversPerRegion = [13, 3, 12],
		lossRate,
	} = options;
	const simulation = new FleetSimulation({
		regions,
		hostsPerRegion: 2,
		configuration: createConfiguration({
			routes: [...routes],
			customers: customers.map((name) =>
				createCustomer({name, keyHashes: [name]}),
			),
		}),
		serversPerRegion,
		slots: 4,
		delayBetweenRegions: 12,
		service: 'desk',
		uncachedTimes,
		isLoadControlRequired,
		lossRate,
		seed,
	});
	for (let at = 1000; at < end; at += 1000) {
		simulation.schedule(at, () => {
			simulation.confirmConfiguration();
		});
	}

	options.disturb?.(simulation);
	const results: CallerResult[] = [];
	for (const stream of options.streams ?? payments) {
		scheduleCallers(simulation, stream, options, results);
	}

	simulation.runUntil(end + 21_000);
	return results.filter(
		({sentAt}) => sentAt >= burstStart && sentAt < burstEnd,
	);
}

function scheduleCallers(
	simulation: FleetSimulation,
	{route, perSecond, burstFactor, objects}: Stream,
	{
		floodFactor = 1,
		floodedRoute = route,
		impatientFraction = 0,
	}: HardLoadOptions,
	results: CallerResult[],
): void {
	const {random} = simulation;
	for (const customer of customers) {
		const isFlooding = customer === floodingCustomer && route === floodedRoute;
		const factor = isFlooding ? floodFactor : 1;
		let at = 1000;
		for (;;) {
			const isBurst = at >= burstStart && at < burstEnd;
			const rate =
				(perSecond / customers.length) * (isBurst ? burstFactor * factor : 1);
			at += (-Math.log(1 - random()) * 1000) / rate;
			if (at >= end) {
				break;
			}

			const region = regions[Math.floor(random() * regions.length)]!;
			const affinity = `${region}/${Math.floor(random() * objects)}`;
			const isImpatient = random() < impatientFraction;
			const caller: CallerResult = {
				route,
				customer,
				isImpatient,
				sentAt: at,
				outcomes: [],
				result: 'refused',
			};
			simulation.schedule(at, () => {
				results.push(caller);
				sendForCaller(simulation, caller, region, affinity);
			});
		}
	}
}

/** Sends a caller's request, and repeats it once if it is refused; an impatient caller repeats immediately and often. */
function sendForCaller(
	simulation: FleetSimulation,
	caller: CallerResult,
	region: string,
	affinity: string,
): void {
	const {route, customer, isImpatient, sentAt, outcomes} = caller;
	const {timeoutMs, latencyObjectiveMs} = routes.find(
		({name}) => name === route,
	)!;
	const timeLeft = sentAt + timeoutMs - simulation.clock.now();
	const onEnded = (outcome: Outcome) => {
		const elapsed = outcome.endedAt! - sentAt;
		if (outcome.result === 'answered') {
			caller.result = elapsed <= latencyObjectiveMs ? 'in time' : 'late';
			return;
		}

		const isRepeated = outcomes.length <= (isImpatient ? immediateRepeats : 1);
		if (outcome.runs === 0 && isRepeated && outcome.retryAfter !== undefined) {
			const delay = isImpatient
				? 20
				: Math.min(outcome.retryAfter, (timeoutMs - elapsed) / 3);
			simulation.schedule(outcome.endedAt! + delay, () => {
				sendForCaller(simulation, caller, region, affinity);
			});
		}
	};

	const outcome = simulation.send({
		path: `/${route}/`,
		key: customer,
		region,
		affinity,
		timeLeft,
	});
	outcomes.push(outcome);
	if (outcome.result === undefined) {
		outcome.onEnded = () => {
			onEnded(outcome);
		};
	} else {
		onEnded(outcome);
	}
}

/** Counts the results of a route's callers. */
export function countResults(
	results: readonly CallerResult[],
	predicate: (result: CallerResult) => boolean,
): {total: number; inTime: number; late: number; refused: number} {
	const selected = results.filter((result) => predicate(result));
	const count = (kind: CallerResult['result']) =>
		selected.filter(({result}) => result === kind).length;
	return {
		total: selected.length,
		inTime: count('in time'),
		late: count('late'),
		refused: count('refused'),
	};
}
