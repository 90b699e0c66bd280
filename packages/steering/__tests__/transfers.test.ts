import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfiguration,
	createCustomer,
	createRoute,
} from './support/configuration.js';
import {
	FleetSimulation,
	sendRequests,
	type Outcome,
} from './support/fleet-simulation.js';

const regions = ['east', 'west', 'north'];
const warmUpEnd = 10_000;
const end = 25_000;

/** Runs requests with bodies and responses of the given sizes for 54 objects that all regions request, at a third of the throughput possible for cached objects. */
function runTransfers({bodyBytes = 0, responseBytes = 0}): Outcome[] {
	const simulation = new FleetSimulation({
		regions,
		hostsPerRegion: 3,
		configuration: createConfiguration({
			routes: [
				createRoute({
					isIdempotent: false,
					timeoutMs: 2500,
					latencyObjectiveMs: 500,
				}),
			],
			customers: [createCustomer({})],
		}),
		serversPerRegion: [12, 12, 10],
		slots: 3,
		cacheSize: 14,
		delayBetweenRegions: 12,
		service: 'desk',
		responseBytes,
		seed: 5,
	});
	for (let at = 1000; at < end; at += 1000) {
		simulation.schedule(at, () => {
			simulation.confirmConfiguration();
		});
	}

	const stream = {path: '/read/', key: 'key', objects: 54, timeLeft: 4000};
	sendRequests(simulation, regions, [{...stream, perSecond: 150, bodyBytes}], {
		from: 1000,
		to: end,
		isShared: true,
	});
	simulation.runUntil(end + 4000);
	return [...simulation.outcomes.values()].filter(
		({sentAt}) => sentAt >= warmUpEnd,
	);
}

function computeFraction(
	outcomes: readonly Outcome[],
	predicate: (outcome: Outcome) => boolean,
): number {
	return (
		outcomes.filter((outcome) => predicate(outcome)).length / outcomes.length
	);
}

const wasServedInRegion = ({region, serverRegions}: Outcome) =>
	serverRegions.every((server) => server === region);

for (const [name, sizes] of Object.entries({
	'uploads of 60 KB': {bodyBytes: 60_000},
	'downloads of 90 KB': {responseBytes: 90_000},
})) {
	describe(name, () => {
		const outcomes = runTransfers(sizes);

		it('stay in the region of their callers if its servers have capacity', () => {
			expect(
				computeFraction(outcomes, wasServedInRegion),
			).toBeGreaterThanOrEqual(0.9);
		});

		it('are answered within the latency objective to nine in ten callers', () => {
			const isInTime = ({result, sentAt, endedAt}: Outcome) =>
				result === 'answered' && endedAt! - sentAt <= 500;
			expect(computeFraction(outcomes, isInTime)).toBeGreaterThanOrEqual(0.9);
		});
	});
}

describe('requests without a body', () => {
	it('are sent to servers that have their object cached, near or far', () => {
		const outcomes = runTransfers({});
		const isInTime = ({result, sentAt, endedAt}: Outcome) =>
			result === 'answered' && endedAt! - sentAt <= 500;
		expect(computeFraction(outcomes, isInTime)).toBeGreaterThanOrEqual(0.95);
	});
});
