import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfiguration,
	createCustomer,
	createRoute,
} from './support/configuration.js';
import {FleetSimulation, sendRequests, type Outcome} from './support/fleet-simulation.js';

const regions = ['east', 'west', 'north'];
const warmUp = 10_000;
const end = 25_000;

/** Uploads of 60 KB for 54 objects, which all regions ask for, at a third of what known objects allow. */
function runUploads(bodyBytes: number): Outcome[] {
	const bench = new FleetSimulation({
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
		seed: 5,
	});
	for (let at = 1000; at < end; at += 1000) {
		bench.schedule(at, () => {
			bench.confirmConfiguration();
		});
	}

	const stream = {path: '/read/', key: 'key', objects: 54, timeLeft: 4000};
	sendRequests(bench, regions, [{...stream, perSecond: 150, bodyBytes}], {
		from: 1000,
		to: end,
		isShared: true,
	});
	bench.runUntil(end + 4000);
	return [...bench.outcomes.values()].filter(({sentAt}) => sentAt >= warmUp);
}

function toShare(
	outcomes: readonly Outcome[],
	test: (outcome: Outcome) => boolean,
): number {
	return outcomes.filter((outcome) => test(outcome)).length / outcomes.length;
}

const isNear = ({region, serverRegions}: Outcome) =>
	serverRegions.every((server) => server === region);

describe('uploads of 60 KB', () => {
	const outcomes = runUploads(60_000);

	it('stay in the region of their callers where its servers have room', () => {
		expect(toShare(outcomes, isNear)).toBeGreaterThanOrEqual(0.9);
	});

	it('are answered in their objective to nine in ten callers', () => {
		const isInTime = ({result, sentAt, endedAt}: Outcome) =>
			result === 'answered' && endedAt! - sentAt <= 500;
		expect(toShare(outcomes, isInTime)).toBeGreaterThanOrEqual(0.9);
	});
});

describe('requests without a body', () => {
	it('go where their object is known, near or far', () => {
		const outcomes = runUploads(0);
		const isInTime = ({result, sentAt, endedAt}: Outcome) =>
			result === 'answered' && endedAt! - sentAt <= 500;
		expect(toShare(outcomes, isInTime)).toBeGreaterThanOrEqual(0.95);
	});
});
