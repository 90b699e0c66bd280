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
	type RequestStream,
} from './support/fleet-simulation.js';

const regions = ['east', 'west', 'north'];
const warmUpEnd = 8000;
const end = 28_000;

const configuration = createConfiguration({
	routes: [
		createRoute({}),
		createRoute({
			name: 'charge',
			pathPrefix: '/charge/',
			isIdempotent: false,
			timeoutMs: 1500,
			latencyObjectiveMs: 800,
			priority: 1,
		}),
	],
	customers: [createCustomer({})],
});

/** Creates reads and charges for a fleet with 96 slots; at scale 1 they need 42 slots if all objects are cached, and 138 if none is. */
function createStreams(scale: number): RequestStream[] {
	return [
		{
			path: '/read/',
			key: 'key',
			perSecond: 98 * scale,
			objects: 24,
			timeLeft: 4000,
		},
		{
			path: '/charge/',
			key: 'key',
			perSecond: 45 * scale,
			objects: 24,
			timeLeft: 6000,
		},
	];
}

function runLoad(scale: number, seed: number): Outcome[] {
	const simulation = new FleetSimulation({
		regions,
		hostsPerRegion: 3,
		configuration,
		serversPerRegion: [12, 2, 10],
		slots: 4,
		delayBetweenRegions: 55,
		service: 'desk',
		seed,
	});
	for (let at = 1000; at < end; at += 1000) {
		simulation.schedule(at, () => {
			simulation.confirmConfiguration();
		});
	}

	sendRequests(simulation, regions, createStreams(scale), {
		from: 1000,
		to: end,
	});
	simulation.runUntil(end + 5000);
	return [...simulation.outcomes.values()].filter(
		({sentAt}) => sentAt >= warmUpEnd,
	);
}

function isInObjective({path, sentAt, endedAt, result}: Outcome): boolean {
	const objective = path === '/read/' ? 600 : 800;
	return result === 'answered' && endedAt! - sentAt <= objective;
}

function computeFraction(
	outcomes: readonly Outcome[],
	predicate: (outcome: Outcome) => boolean,
): number {
	return (
		outcomes.filter((outcome) => predicate(outcome)).length / outcomes.length
	);
}

describe('a load that fits when objects are cached', () => {
	for (const seed of [1, 2, 3]) {
		it(`is served within the latency objective to nine in ten callers (seed ${seed})`, () => {
			const outcomes = runLoad(1, seed);
			expect(computeFraction(outcomes, isInObjective)).toBeGreaterThanOrEqual(
				0.9,
			);
			expect(
				computeFraction(outcomes, ({result}) => result === 'answered'),
			).toBeGreaterThanOrEqual(0.98);
		});
	}

	it('is served equally well in all regions, although one has few servers', () => {
		const outcomes = runLoad(1, 4);
		for (const region of regions) {
			const ofRegion = outcomes.filter((outcome) => outcome.region === region);
			expect(computeFraction(ofRegion, isInObjective)).toBeGreaterThanOrEqual(
				0.85,
			);
		}
	});
});

describe('a load of three times the capacity', () => {
	const outcomes = runLoad(6, 5);
	const answered = outcomes.filter(({result}) => result === 'answered');

	it('is answered up to the capacity of the slots', () => {
		// 96 slots with a mean processing time of 0.27 s for cached objects allow 350 requests per second.
		const perSecond = answered.length / ((end - warmUpEnd) / 1000);
		expect(perSecond).toBeGreaterThanOrEqual(250);
	});

	it('keeps most answers within the latency objective', () => {
		expect(computeFraction(answered, isInObjective)).toBeGreaterThanOrEqual(
			0.7,
		);
	});

	it('runs few requests that are not answered', () => {
		const wasted = computeFraction(
			outcomes,
			({result, runs}) => result !== 'answered' && runs > 0,
		);
		expect(wasted).toBeLessThanOrEqual(0.05);
	});

	it('is refused at once if there is no capacity', () => {
		const refused = outcomes.filter(({result}) => result === 'no-room');
		const waits = refused
			.map(({sentAt, endedAt}) => endedAt! - sentAt)
			.sort((a, b) => a - b);
		expect(waits[Math.floor(waits.length / 2)]!).toBeLessThanOrEqual(100);
	});

	it('serves the route with higher priority at least as often as the other', () => {
		const reads = outcomes.filter(({path}) => path === '/read/');
		const charges = outcomes.filter(({path}) => path === '/charge/');
		const isAnswered = ({result}: Outcome) => result === 'answered';
		expect(computeFraction(charges, isAnswered)).toBeGreaterThanOrEqual(
			computeFraction(reads, isAnswered) - 0.05,
		);
	});

	it('reports nothing as not run that ran, and runs no charge twice', () => {
		for (const {path, runs, result} of outcomes) {
			if (result === 'no-room' || result === 'server-refused') {
				expect(runs).toEqual(0);
			}

			if (path === '/charge/') {
				expect(runs).toBeLessThanOrEqual(1);
			}
		}
	});

	it('gives refused callers retry delays that are spread out', () => {
		const retryDelays = outcomes
			.filter(({result}) => result === 'no-room')
			.map(({retryAfter}) => retryAfter!);
		expect(
			Math.max(...retryDelays) - Math.min(...retryDelays),
		).toBeGreaterThanOrEqual(300);
	});
});
