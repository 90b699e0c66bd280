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

describe('a fleet of 200 hosts', () => {
	const domains = ['east-a', 'east-b', 'west-a', 'west-b'];

	/** Creates a host of the fleet whose other hosts have just been heard from; two of each domain are active. */
	const createSession = () => {
		const session = new KernelSession({
			random: () => 0,
			self: createHost({name: 'self'}),
		});
		session.start([createServer({slots: 1000})]);
		const announce = (
			sequence: number,
			isSilent = (_name: string) => false,
		) => {
			for (const failureDomain of domains) {
				for (let index = 0; index < 50; index++) {
					const name = `${failureDomain}-${index}`;
					const isActive = index < 2;
					const digest = createDigest({
						name,
						incarnation: name,
						callers: name,
						address: name,
						region: failureDomain.split('-')[0]!,
						failureDomain,
						sequence,
						capacity: isActive ? 2 : 1,
						requestsPerSecond: isActive ? 10 : 0,
					});
					if (!isSilent(name)) {
						session.handle({type: 'digest-received', digest});
					}
				}
			}
		};

		return {session, announce};
	};

	const listNotified = (session: KernelSession, duration: number) =>
		new Set(
			session
				.wait(duration)
				.flatMap((effect) => (effect.type === 'send-digest' ? effect.to : []))
				.map(({peerAddress}) => peerAddress),
		);

	it('has idle hosts announce themselves to active hosts and their failure domain only', () => {
		const {session, announce} = createSession();
		for (let sequence = 1; sequence <= 5; sequence++) {
			announce(sequence);
			session.wait(2000);
		}

		const notified = new Set<string>();
		for (let sequence = 6; sequence <= 12; sequence++) {
			announce(sequence);
			for (const address of listNotified(session, 1000)) {
				notified.add(address);
			}
		}

		expect(notified.has('west-a-0')).toEqual(true);
		expect(notified.has('east-a-30')).toEqual(true);
		expect(notified.has('east-b-30')).toEqual(false);
		expect(notified.has('west-a-30')).toEqual(false);
	});

	it('has active hosts announce themselves to all hosts of their region every two seconds', () => {
		const {session, announce} = createSession();
		const sendTen = () => {
			for (let count = 0; count < 10; count++) {
				session.send();
			}
		};

		for (let sequence = 1; sequence <= 10; sequence++) {
			announce(sequence);
			sendTen();
			session.wait(1000);
		}

		announce(11);
		sendTen();
		const notified = listNotified(session, 2100);
		expect(notified.has('east-a-30')).toEqual(true);
		expect(notified.has('east-b-30')).toEqual(true);
	});

	it('does not direct callers to a host that has been silent for seven seconds', () => {
		const {session, announce} = createSession();
		announce(1);
		for (let sequence = 2; sequence <= 8; sequence++) {
			session.wait(1000);
			announce(sequence, (name) => name === 'east-a-0');
		}

		const [answer] = session.takeEffects('answer-look-up', {
			type: 'look-up-arrived',
			lookUpId: '1',
			region: 'east',
			failureDomain: 'east-a',
		});
		expect(answer!.callers).toInclude('east-a-1');
		expect(answer!.callers.includes('east-a-0')).toEqual(false);
	});
});

describe('a new fleet without a configuration', () => {
	/** Returns whether a host reads from the store after the others have announced themselves. */
	const isReading = (isOtherReading: (index: number) => boolean) => {
		const session = new KernelSession({
			random: () => 0,
			self: createHost({name: 'self'}),
		});
		session.listServers([createServer({})], 1);
		let wasReading = true;
		for (let sequence = 1; sequence <= 5; sequence++) {
			for (let index = 0; index < 194; index++) {
				const digest = createDigest({
					name: `other-${index}`,
					incarnation: `other-${index}`,
					sequence,
					requestsPerSecond: 0,
					configurationVersion: -1,
					configurationAgeMs: null,
					isReading: isOtherReading(index),
				});
				session.handle({type: 'digest-received', digest});
			}

			for (const effect of session.wait(1000)) {
				if (effect.type === 'set-reading') {
					wasReading = effect.isReading;
				}
			}
		}

		return wasReading;
	};

	it('is watched by few hosts until there is one', () => {
		expect(isReading((index) => index < 5)).toEqual(false);
	});

	it('is watched by every host that hears of no others that do', () => {
		expect(isReading(() => false)).toEqual(true);
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
