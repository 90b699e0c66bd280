import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createConfiguration,
	createCustomer,
	createRoute,
} from './support/configuration.js';
import {FleetSimulation, sendRequests} from './support/fleet-simulation.js';
import {
	createDigest,
	createHost,
	createServer,
	KernelSession,
} from './support/kernel-session.js';

const regions = ['east', 'west', 'north'];
const end = 12_000;
const firstRequest = 200;
const customers = Array.from({length: 20}, (_, index) =>
	createCustomer({
		name: `customer-${index}`,
		keyHashes: [`key-${index}`],
		ratePerSecond: 20,
		burst: 20,
	}),
);

/** Runs a fleet whose callers use two hosts in each region, as when look-ups return only the large ones. */
function runFleet(
	hostsPerRegion: number,
	{isFirstStart = true, hostsListedAt = 0} = {},
): FleetSimulation {
	const simulation = new FleetSimulation({
		regions,
		hostsPerRegion,
		usedHostsPerRegion: 2,
		configuration: createConfiguration({
			routes: [createRoute({timeoutMs: 2000, latencyObjectiveMs: 800})],
			customers,
		}),
		serversPerRegion: [60, 12, 50],
		slots: 5,
		cacheSize: 17,
		delayBetweenRegions: 55,
		isFirstStart,
		hostsListedAt,
		service: 'desk',
		seed: 3,
	});
	for (let at = 1000; at < end; at += 1000) {
		simulation.schedule(at, () => {
			simulation.confirmConfiguration();
		});
	}

	const streams = customers.map(({keyHashes}) => ({
		path: '/read/',
		key: keyHashes[0]!,
		perSecond: 12,
		objects: 50,
		timeLeft: 5000,
	}));
	sendRequests(simulation, regions, streams, {from: firstRequest, to: end});
	simulation.runUntil(end + 3000);
	return simulation;
}

describe('an idle host', () => {
	it('sends digests to all hosts at first, later only to active ones and its region', () => {
		const session = new KernelSession({
			random: () => 0,
			self: createHost({name: 'quiet'}),
		});
		session.start([]);
		const announceOthers = (sequence: number) => {
			for (const region of ['east', 'west', 'north']) {
				for (const index of [1, 2, 3, 4, 5]) {
					const digest = createDigest({
						name: `${region}-${index}`,
						address: `${region}-${index}`,
						region,
						sequence,
						requestsPerSecond: region === 'west' ? 10 : 0,
					});
					session.handle({type: 'digest-received', digest});
				}
			}
		};

		const listNotifiedRegions = (duration: number) => {
			const sent = session
				.wait(duration)
				.flatMap((effect) => (effect.type === 'send-digest' ? effect.to : []));
			return new Set(sent.map(({peerAddress}) => peerAddress.split('-')[0]));
		};

		announceOthers(1);
		expect(listNotifiedRegions(2500)).toEqual(
			new Set(['east', 'west', 'north']),
		);
		announceOthers(2);
		session.wait(4000);
		announceOthers(3);
		// A host that reads from the store sends to all hosts; five others read instead.
		const effects = session.takeEffects('set-reading', {type: 'tick'});
		expect(effects.every(({isReading}) => !isReading)).toEqual(true);
		expect(listNotifiedRegions(1400)).toEqual(new Set(['east', 'west']));
	});
});

describe('entries of silent hosts', () => {
	const listRemovedEntries = (isActive: boolean): string[] => {
		const session = new KernelSession();
		session.start([createServer({slots: 1000})]);
		session.handle({
			type: 'hosts-listed',
			hosts: [createHost({name: 'silent', incarnation: 'silent/1'})],
		});
		const removed: string[] = [];
		for (let sequence = 1; sequence <= 30; sequence++) {
			const digest = createDigest({name: 'other', sequence});
			session.handle({type: 'digest-received', digest});
			const requests = isActive ? 10 : 0;
			for (let count = 0; count < requests; count++) {
				session.send();
			}

			for (const effect of session.wait(1000)) {
				if (effect.type === 'remove-host-entry') {
					removed.push(effect.name);
				}
			}
		}

		return removed;
	};

	it('are removed by an active host, which would receive their digests', () => {
		expect(listRemovedEntries(true)).toInclude('silent');
	});

	it('are not removed by an idle host, which does not receive the digests of all live hosts', () => {
		expect(listRemovedEntries(false)).toEqual([]);
	});
});

describe('a fleet whose hosts all restart at once', () => {
	it('refuses few requests of customers within their rates', () => {
		const {outcomes} = runFleet(30, {isFirstStart: false});
		const first = [...outcomes.values()].filter(({sentAt}) => sentAt < 3000);
		const refused = first.filter(({result}) => result === 'rate-exceeded');
		expect(refused.length / first.length).toBeLessThanOrEqual(0.01);
	});
});

describe('a fleet of 200 hosts that restart at once and list each other after their first tick', () => {
	it('refuses few requests of customers within their rates', () => {
		const {outcomes} = runFleet(67, {isFirstStart: false, hostsListedAt: 300});
		const first = [...outcomes.values()].filter(
			({sentAt}) => sentAt >= 500 && sentAt < 4000,
		);
		const refused = first.filter(({result}) => result === 'rate-exceeded');
		expect(refused.length / first.length).toBeLessThanOrEqual(0.01);
	});
});

describe('a fleet in which few hosts carry the load', () => {
	const small = runFleet(3);
	const large = runFleet(30);

	it('sends no more bytes per host when it is ten times as large', () => {
		const computeBytesPerHost = ({bytesSent, hosts}: FleetSimulation) =>
			bytesSent / hosts.length;
		expect(computeBytesPerHost(large)).toBeLessThanOrEqual(
			computeBytesPerHost(small),
		);
	});

	it('sends at most ten more messages per second and host for each doubling', () => {
		const computeMessageRate = ({messagesSent, hosts}: FleetSimulation) =>
			messagesSent / hosts.length / (end / 1000);
		expect(computeMessageRate(large)).toBeLessThanOrEqual(
			computeMessageRate(small) + 10 * Math.log2(10),
		);
	});

	it('serves callers as well as a small one', () => {
		const computeInTimeFraction = ({outcomes}: FleetSimulation) => {
			const afterWarmUp = [...outcomes.values()].filter(
				({sentAt}) => sentAt > 6000,
			);
			const inTime = afterWarmUp.filter(
				({result, endedAt, sentAt}) =>
					result === 'answered' && endedAt! - sentAt <= 800,
			);
			return inTime.length / afterWarmUp.length;
		};

		expect(computeInTimeFraction(large)).toBeGreaterThanOrEqual(0.95);
		expect(computeInTimeFraction(small)).toBeGreaterThanOrEqual(0.95);
	});

	it('keeps each customer within its rate', () => {
		for (const {keyHashes} of customers) {
			const times = [...large.outcomes.values()]
				.filter(({customer, runs}) => customer === keyHashes[0] && runs > 0)
				.map(({sentAt}) => sentAt);
			for (const from of times) {
				const inWindow = times.filter((at) => at >= from && at < from + 5000);
				expect(inWindow.length).toBeLessThanOrEqual((20 * 5 + 20) * 1.1 + 20);
			}
		}
	});
});
