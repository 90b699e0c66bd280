import {describe, it} from 'node:test';
import {expect} from 'earl';
import {second} from '@parsleyvale/shared';
import {createConfiguration, createRoute} from './support/configuration.js';
import {
	FleetSimulation,
	sendRequests,
	type Outcome,
} from './support/fleet-simulation.js';

const regions = ['east', 'west', 'north'];
const deadlyPath = '/read/deadly';
const begin = 3 * second;
const end = 30 * second;
/** Hosts have learned of the third crash within this time. */
const stableTime = 3 * second;
const toleratedRetries = 3;
/** Callers send a request a few times within its deadline. */
const callerRetries = 2;

type Send = {
	readonly at: number;
	readonly region: string;
};

/** Plays a load, and a request that crashes servers, which comes to all regions. */
function play(deadlySends: readonly Send[], seed: number) {
	const simulation = new FleetSimulation({
		regions,
		hostsPerRegion: 3,
		configuration: createConfiguration({
			routes: [
				createRoute({
					maximumAttempts: 3,
					timeoutMs: 4000,
					latencyObjectiveMs: 300,
				}),
			],
		}),
		serversPerRegion: [8, 8, 8],
		slots: 3,
		delayBetweenRegions: 12,
		service: 'desk',
		deadlyPath,
		seed,
	});
	sendRequests(
		simulation,
		regions,
		[
			{
				path: '/read/x',
				key: 'key',
				perSecond: 80,
				objects: 200,
				timeLeft: 3000,
			},
		],
		{from: 1000, to: end},
	);
	for (let at = second; at < end; at += second) {
		simulation.schedule(at, () => {
			simulation.confirmConfiguration();
		});
	}

	for (const {at, region} of deadlySends) {
		simulation.schedule(at, () => {
			sendDeadly(simulation, region, callerRetries);
		});
	}

	simulation.runUntil(end + 5000);
	return simulation;
}

function sendDeadly(
	simulation: FleetSimulation,
	region: string,
	retries: number,
): void {
	const request = {path: deadlyPath, key: 'key', affinity: '1', region};
	const outcome = simulation.send({...request, timeLeft: 3000});
	outcome.onEnded = () => {
		if (retries > 0) {
			simulation.schedule(simulation.clock.now() + 100, () => {
				sendDeadly(simulation, region, retries - 1);
			});
		}
	};
}

/** Returns the times at which the deadly request reached servers although all hosts could know of three crashes. */
function listLateRetries({arrivals, crashes}: FleetSimulation): number[] {
	const knownAt = (crashes[2] ?? Number.POSITIVE_INFINITY) + stableTime;
	return arrivals
		.filter(({path, at}) => path === deadlyPath && at > knownAt)
		.map(({at}) => at);
}

function listOthers({outcomes}: FleetSimulation): Outcome[] {
	return [...outcomes.values()].filter(({path}) => path !== deadlyPath);
}

function createSends(perSecond: number): Send[] {
	return Array.from(
		{length: ((end - begin) / second) * perSecond},
		(_, index) => ({
			at: begin + (index * second) / perSecond,
			region: regions[index % regions.length]!,
		}),
	);
}

describe('a request that crashes each server that runs it', () => {
	for (const perSecond of [0.5, 2, 6]) {
		it(`is kept from servers once three have crashed (${perSecond} a second)`, () => {
			for (const seed of [1, 2, 3]) {
				const simulation = play(createSends(perSecond), seed);
				expect(simulation.crashes.length).toBeGreaterThanOrEqual(3);
				expect(listLateRetries(simulation).length).toBeLessThanOrEqual(
					toleratedRetries,
				);
			}
		});
	}

	it('keeps no request from servers that ran beside it', () => {
		for (const seed of [1, 2, 3]) {
			const simulation = play(createSends(6), seed);
			const results = new Set(listOthers(simulation).map(({result}) => result));
			expect(results.has('answered')).toEqual(true);
			expect(results.has('request-blocked')).toEqual(false);
		}
	});
});
