import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CacheSizeEstimator} from '../src/cache-size-estimator.js';
import {
	createConfiguration,
	createCustomer,
	createRoute,
} from './support/configuration.js';
import {FleetSimulation, sendRequests} from './support/fleet-simulation.js';
import {createRandom} from './support/random.js';

const regions = ['east', 'west', 'north'];
const end = 30_000;

describe('how many objects servers keep', () => {
	for (const kept of [8, 15, 40]) {
		it(`is learnt from answers, though one in fifty misleads (${kept})`, () => {
			const memory = new CacheSizeEstimator();
			const random = createRandom(kept);
			for (let answer = 0; answer < 3000; answer++) {
				const position = Math.floor(random() * 60);
				const isMisleading = random() < 0.02;
				memory.onAnswer(position, position < kept !== isMisleading);
			}

			expect(Math.abs(memory.size - kept)).toBeLessThanOrEqual(3);
		});
	}
});

describe('a load of twice what fits, for more objects than servers keep', () => {
	it('is answered in its objective to one in three callers, in all of 30 s', () => {
		const bench = new FleetSimulation({
			regions,
			hostsPerRegion: 7,
			configuration: createConfiguration({
				routes: [createRoute({timeoutMs: 2000, latencyObjectiveMs: 500})],
				customers: [createCustomer({})],
			}),
			serversPerRegion: [20, 24, 5],
			slots: 3,
			cacheSize: 15,
			delayBetweenRegions: 12,
			service: 'desk',
			seed: 1,
		});
		for (let at = 1000; at < end; at += 1000) {
			bench.schedule(at, () => {
				bench.confirmConfiguration();
			});
		}

		const stream = {path: '/read/', key: 'key', objects: 458, timeLeft: 3000};
		sendRequests(bench, regions, [{...stream, perSecond: 450}], {
			from: 2000,
			to: end,
			isShared: true,
		});
		bench.runUntil(end + 3000);
		const late = [...bench.outcomes.values()].filter(
			({sentAt}) => sentAt >= end - 8000,
		);
		const inTime = late.filter(
			({result, sentAt, endedAt}) =>
				result === 'answered' && endedAt! - sentAt <= 500,
		);
		expect(inTime.length / late.length).toBeGreaterThanOrEqual(1 / 3);
	});
});
