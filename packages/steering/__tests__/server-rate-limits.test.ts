import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringEffect} from '../src/index.js';
import {createConfiguration, createRoute} from './support/configuration.js';
import {FleetSimulation, sendRequests} from './support/fleet-simulation.js';
import {createServer, KernelSession} from './support/kernel-session.js';

/** Returns the limits in the log lines among the effects. */
function listLoggedLimits(effects: readonly SteeringEffect[]): unknown[] {
	return effects.flatMap((effect) =>
		effect.type === 'log' && effect.message === 'server rate limit changed'
			? [effect.fields.requestsPerSecond]
			: [],
	);
}

function answerWithLimit(
	session: KernelSession,
	id: string,
	requestsPerSecond: number | undefined,
): SteeringEffect[] {
	return session.endAttempt(id, 1, {rateLimit: {requestsPerSecond}});
}

describe('the rate limit that a server states', () => {
	it('is logged when it begins, changes and ends', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		const logged = [undefined, 20, 20, 10, undefined, undefined].map(
			(requestsPerSecond) => {
				session.wait(500);
				const {id} = session.send();
				return listLoggedLimits(
					answerWithLimit(session, id, requestsPerSecond),
				);
			},
		);
		expect(logged).toEqual([[], [20], [], [10], ['none'], []]);
	});

	it('is kept, and a line is logged, if an answer states one that is not readable', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		answerWithLimit(session, session.send().id, 20);
		// Refused, as the first tokens of a limit come with time.
		session.send();
		session.wait(500);
		const {id} = session.send();
		const effects = session.endAttempt(id, 1, {rateLimit: undefined});
		const lines = effects.flatMap((effect) =>
			effect.type === 'log' && effect.message.includes('rate limit')
				? [effect.message, effect.fields.requestsPerSecond]
				: [],
		);
		expect(lines).toEqual(['server rate limit not readable', 20]);
	});

	it('is not ended by the answer to a request that was sent before it was stated', () => {
		const session = new KernelSession();
		session.start([createServer({})]);
		const early = session.send();
		const {id} = session.send();
		session.wait(50);
		answerWithLimit(session, id, 20);
		session.wait(50);
		const effects = answerWithLimit(session, early.id, undefined);
		expect(listLoggedLimits(effects)).toEqual([]);
	});
});

const regions = ['east', 'west', 'north'];
const limitedFrom = 6000;
const limitedUntil = 25_000;
/** A limit binds the fleet from this time after a server first stated it. */
const settlingTime = 3000;
const windowDuration = 4000;
/** A host is bound by a limit from this time after it received it. */
const informedAfter = 500;

type Period = {
	readonly from: Milliseconds;
	readonly to: Milliseconds;
	/** Requests per second. */
	readonly perSecond: number;
};

type LoadOptions = {
	readonly seed: number;
	readonly hostsPerRegion?: number;
	readonly lossRate?: number;
	/** Interval at which one host after the other is restarted; 0: none is. */
	readonly restartInterval?: number;
	/** Requests per second until the end. */
	readonly perSecond?: number;
	/** Replaces `perSecond`. */
	readonly periods?: readonly Period[];
	readonly until?: Milliseconds;
	/** Lowest limit, and the width of the range above it. */
	readonly limits?: readonly [lowest: number, range: number];
	/** When the servers no longer state a limit. */
	readonly statedUntil?: number;
};

function isLimited(id: string): boolean {
	return !id.endsWith('0') && !id.endsWith('1');
}

/** Plays a load during which two thirds of the servers state a limit that they do not enforce. */
function runLimitedLoad({
	seed,
	hostsPerRegion = 3,
	lossRate = 0,
	restartInterval = 0,
	perSecond = 110,
	until = limitedUntil,
	periods = [{from: 1000, to: until, perSecond}],
	limits: [lowest, range] = [2, 3],
	statedUntil = until,
}: LoadOptions): FleetSimulation {
	const simulation = new FleetSimulation({
		regions,
		hostsPerRegion,
		configuration: createConfiguration({
			routes: [createRoute({latencyObjectiveMs: 300})],
		}),
		serversPerRegion: [8, 8, 8],
		slots: 3,
		delayBetweenRegions: 12,
		service: 'desk',
		lossRate,
		seed,
	});
	for (let at = 500; at < until + 1000; at += 500) {
		simulation.schedule(at, () => {
			simulation.confirmConfiguration();
		});
	}

	const limitedServers = [...simulation.servers].filter(([id]) =>
		isLimited(id),
	);
	simulation.schedule(limitedFrom, () => {
		for (const [, server] of limitedServers) {
			server.rateLimit = lowest + range * simulation.random();
		}
	});
	if (statedUntil < until) {
		simulation.schedule(statedUntil, () => {
			for (const [, server] of limitedServers) {
				server.rateLimit = undefined;
			}
		});
	}

	if (restartInterval > 0) {
		for (let at = 8000; at < until; at += restartInterval) {
			simulation.schedule(at, () => {
				simulation.restartHost(simulation.hosts[0]!, 1000);
			});
		}
	}

	const stream = {path: '/read/', key: 'key', objects: 120, timeLeft: 4000};
	for (const {from, to, perSecond} of periods) {
		sendRequests(simulation, regions, [{...stream, perSecond}], {from, to});
	}

	simulation.runUntil(until);
	return simulation;
}

/**
 * Returns the servers that got more requests in a window than one and a half times
 * their limit and five, from hosts that had received the limit half a second before.
 */
function listExceeded(simulation: FleetSimulation): string[] {
	const {servers, arrivals, limitsReceivedAt} = simulation;
	return [...servers].flatMap(([id, {rateLimit}]) => {
		if (rateLimit === undefined) {
			return [];
		}

		const bound = (1.5 * rateLimit * windowDuration) / 1000 + 5;
		const times = arrivals
			.filter(({server, incarnation, at}) => {
				const receivedAt = limitsReceivedAt.get(`${incarnation} ${id}`);
				return server === id && at >= (receivedAt ?? Infinity) + informedAfter;
			})
			.map(({at}) => at);
		const highest = Math.max(
			0,
			...times
				.filter((end) => end >= limitedFrom + settlingTime)
				.map(
					(end) =>
						times.filter((at) => at > end - windowDuration && at <= end).length,
				),
		);
		return highest > bound
			? [`${id}: ${highest} requests, allowed ${Math.floor(bound)}`]
			: [];
	});
}

/** Returns the requests that reached the limited servers, as a fraction of what their limits allow. */
function computeUse({servers, arrivals}: FleetSimulation): number {
	const from = limitedFrom + settlingTime;
	let allowed = 0;
	for (const {rateLimit = 0} of servers.values()) {
		allowed += (rateLimit * (limitedUntil - from)) / 1000;
	}

	const used = arrivals.filter(
		({server, at}) =>
			servers.get(server)!.rateLimit !== undefined && at >= from,
	).length;
	return used / allowed;
}

describe('a server that states a rate limit gets no more from all hosts together', () => {
	for (const seed of [1, 2, 3]) {
		it(`with ten servers' worth of requests for eight, seed ${seed}`, () => {
			const simulation = runLimitedLoad({seed});
			expect(listExceeded(simulation)).toEqual([]);
			expect(computeUse(simulation)).toBeGreaterThan(0.75);
		});

		it(`while requests exceed all servers' capacity, seed ${seed}`, () => {
			const simulation = runLimitedLoad({seed, perSecond: 250});
			expect(listExceeded(simulation)).toEqual([]);
			expect(computeUse(simulation)).toBeGreaterThan(0.75);
		});
	}

	it('while hosts are restarted one after the other', () => {
		const simulation = runLimitedLoad({seed: 4, restartInterval: 2000});
		expect(listExceeded(simulation)).toEqual([]);
	});

	it('although a third of the messages between hosts is lost', () => {
		const simulation = runLimitedLoad({seed: 5, lossRate: 0.33});
		expect(listExceeded(simulation)).toEqual([]);
	});

	it('with 60 hosts', () => {
		const simulation = runLimitedLoad({seed: 6, hostsPerRegion: 20});
		expect(listExceeded(simulation)).toEqual([]);
	});

	for (const hostsPerRegion of [3, 10]) {
		it(`when requests come to ${3 * hostsPerRegion} hosts at once after a calm time`, () => {
			const until = 34_000;
			const simulation = runLimitedLoad({
				seed: 1,
				hostsPerRegion,
				limits: [0.5, 2.5],
				until,
				periods: [
					{from: 1000, to: 12_000, perSecond: 60},
					{from: 12_000, to: 25_000, perSecond: 3},
					{from: 25_000, to: until, perSecond: 300},
				],
			});
			expect(listExceeded(simulation)).toEqual([]);
		});
	}

	it('until it no longer states one', () => {
		const statedUntil = 15_000;
		const {arrivals} = runLimitedLoad({seed: 7, perSecond: 250, statedUntil});
		const countPerSecond = (from: number, until: number) =>
			arrivals.filter(
				({server, at}) => isLimited(server) && at >= from && at < until,
			).length /
			((until - from) / 1000);
		const before = countPerSecond(statedUntil - 4000, statedUntil);
		const after = countPerSecond(statedUntil + 2000, statedUntil + 6000);
		expect(after).toBeGreaterThan(1.5 * before);
	});
});
