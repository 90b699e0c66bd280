import type {Milliseconds} from '@parsleyvale/shared';
import type {Unevenness} from '../../src/servers/pool-unevenness.js';
import {createConfiguration, createRoute} from './configuration.js';
import {
	FleetSimulation,
	sendRequests,
	type SimulationOptions,
} from './fleet-simulation.js';

const regions = ['east', 'west', 'north'];
const warmUpEnd = 6000;
const sampleInterval: Milliseconds = 100;

export type EvenLoadOptions = Partial<SimulationOptions> & {
	readonly hosts: number;
	/** Requests per second; seat look-ups have 563. */
	readonly perSecond: number;
	/** Objects that are requested in each region. */
	readonly objects: number;
	/** End of the requests. */
	readonly end?: Milliseconds;
	/** Disturbs the simulation before it runs. */
	readonly prepare?: (simulation: FleetSimulation) => void;
};

/** What callers got after the warm-up, and how even the load of the servers was. */
export type EvenLoadResult = {
	readonly served: number;
	readonly inObjective: number;
	readonly medianMs: number;
	readonly p99Ms: number;
	readonly spreadPercent: number;
	/** Share of samples in which a server is overrun, and the mean number of overrun servers. */
	readonly overrunShare: number;
	readonly overrunServers: number;
	readonly runsPerRequest: number;
};

/**
 * Simulates the seat look-ups of deployment R: 91 servers of 4 slots in three
 * regions of which one has a tenth, and at most twelve hosts that carry the load.
 */
export function runEvenLoad({
	hosts,
	perSecond,
	objects,
	end = 18_000,
	prepare,
	...options
}: EvenLoadOptions): EvenLoadResult {
	const simulation = new FleetSimulation({
		regions,
		hostsPerRegion: Math.ceil(hosts / 3),
		usedHostsPerRegion: Math.min(4, Math.ceil(hosts / 3)),
		configuration: createConfiguration({
			routes: [createRoute({timeoutMs: 4022, latencyObjectiveMs: 603})],
		}),
		serversPerRegion: [41, 9, 41],
		slots: 4,
		delayBetweenRegions: 12,
		service: 'desk',
		isLoadControlRequired: true,
		seed: 1,
		...options,
	});
	prepare?.(simulation);
	for (let at = 1000; at < end; at += 1000) {
		simulation.schedule(at, () => {
			simulation.confirmConfiguration();
		});
	}

	const samples: Array<Unevenness | undefined> = [];
	for (let at = warmUpEnd; at < end; at += sampleInterval) {
		simulation.schedule(at, () => {
			samples.push(simulation.measureUnevenness());
		});
	}

	const stream = {path: '/read/', key: 'key', perSecond, objects};
	sendRequests(simulation, regions, [{...stream, timeLeft: 4022}], {
		from: 1000,
		to: end,
	});
	simulation.runUntil(end + 5000);
	return summarize(simulation, samples);
}

function summarize(
	simulation: FleetSimulation,
	samples: ReadonlyArray<Unevenness | undefined>,
): EvenLoadResult {
	const outcomes = [...simulation.outcomes.values()].filter(
		({sentAt}) => sentAt >= warmUpEnd,
	);
	const latencies = outcomes
		.filter(({result, status}) => result === 'answered' && status === 200)
		.map(({sentAt, endedAt}) => endedAt! - sentAt)
		.sort((a, b) => a - b);
	const overrun = samples.map((sample) => sample?.overrunServers ?? 0);
	const total = outcomes.length;
	return {
		served: latencies.length / total,
		inObjective: latencies.filter((latency) => latency <= 603).length / total,
		medianMs: latencies[Math.floor(latencies.length * 0.5)] ?? 0,
		p99Ms: latencies[Math.floor(latencies.length * 0.99)] ?? 0,
		spreadPercent:
			sum(samples.map((sample) => sample?.spreadPercent ?? 0)) / samples.length,
		overrunShare: overrun.filter((count) => count > 0).length / overrun.length,
		overrunServers: sum(overrun) / overrun.length,
		runsPerRequest: sum(outcomes.map(({runs}) => runs)) / total,
	};
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
