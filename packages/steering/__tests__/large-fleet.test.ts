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

/** A fleet of which callers use two hosts in each region, as look-ups name the large ones. */
function runFleet(hostsPerRegion: number, isFirstStart = true): FleetSimulation {
	const bench = new FleetSimulation({
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
		service: 'desk',
		seed: 3,
	});
	for (let at = 1000; at < end; at += 1000) {
		bench.schedule(at, () => {
			bench.confirmConfiguration();
		});
	}

	const streams = customers.map(({keyHashes}) => ({
		path: '/read/',
		key: keyHashes[0]!,
		perSecond: 12,
		objects: 50,
		timeLeft: 5000,
	}));
	sendRequests(bench, regions, streams, {from: firstRequest, to: end});
	bench.runUntil(end + 3000);
	return bench;
}

describe('an idle host', () => {
	it('tells all hosts of itself at first, later only busy ones and its region', () => {
		const session = new KernelSession({
			random: () => 0,
			self: createHost({name: 'quiet'}),
		});
		session.start([]);
		const tellOfOthers = (sequence: number) => {
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

		const listTold = (span: number) => {
			const sent = session
				.wait(span)
				.flatMap((effect) => (effect.type === 'send-digest' ? effect.to : []));
			return new Set(sent.map(({peerAddress}) => peerAddress.split('-')[0]));
		};

		tellOfOthers(1);
		expect(listTold(2500)).toEqual(new Set(['east', 'west', 'north']));
		tellOfOthers(2);
		session.wait(4000);
		tellOfOthers(3);
		// What it read itself would go to all; five others of its view read now.
		const effects = session.takeEffects('set-reading', {type: 'tick'});
		expect(effects.every(({isReading}) => !isReading)).toEqual(true);
		expect(listTold(1400)).toEqual(new Set(['east', 'west']));
	});
});

describe('entries of hosts that are not heard', () => {
	const runFor = (isBusy: boolean): string[] => {
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
			const requests = isBusy ? 10 : 0;
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

	it('are removed by a busy host, which would hear them', () => {
		expect(runFor(true)).toInclude('silent');
	});

	it('stay as far as an idle host is concerned: others may hear them', () => {
		expect(runFor(false)).toEqual([]);
	});
});

describe('a fleet of which all hosts come back at once', () => {
	it('refuses few requests of customers within their rates', () => {
		const {outcomes} = runFleet(30, false);
		const first = [...outcomes.values()].filter(({sentAt}) => sentAt < 3000);
		const refused = first.filter(({result}) => result === 'rate-exceeded');
		expect(refused.length / first.length).toBeLessThanOrEqual(0.01);
	});
});

describe('a fleet in which few hosts carry the load', () => {
	const small = runFleet(3);
	const large = runFleet(30);

	it('sends as many bytes for each host when it is ten times as large', () => {
		const toBytesPerHost = ({bytesSent, hosts}: FleetSimulation) =>
			bytesSent / hosts.length;
		expect(toBytesPerHost(large)).toBeLessThanOrEqual(toBytesPerHost(small));
	});

	it('sends at most ten messages more a second for each doubling', () => {
		const toMessages = ({messagesSent, hosts}: FleetSimulation) =>
			messagesSent / hosts.length / (end / 1000);
		expect(toMessages(large)).toBeLessThanOrEqual(
			toMessages(small) + 10 * Math.log2(10),
		);
	});

	it('serves callers as well as a small one', () => {
		const toPart = ({outcomes}: FleetSimulation) => {
			const late = [...outcomes.values()].filter(({sentAt}) => sentAt > 6000);
			const inTime = late.filter(
				({result, endedAt, sentAt}) =>
					result === 'answered' && endedAt! - sentAt <= 800,
			);
			return inTime.length / late.length;
		};

		expect(toPart(large)).toBeGreaterThanOrEqual(0.95);
		expect(toPart(small)).toBeGreaterThanOrEqual(0.95);
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
