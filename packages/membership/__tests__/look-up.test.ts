import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createClientBlockTable} from '@parsleyvale/client-blocks';
import {createKernel, configurationKey} from '@parsleyvale/kernel';
import {createMembership} from '../src/index.js';
import {
	FakeConfiguration,
	MemberFleet,
	createEntryHost,
} from './member-fleet.js';

const networkSeed = 11;
const customers = [
	{name: 'large', ratePerSecond: 900, burst: 900},
	{name: 'small', ratePerSecond: 10, burst: 10},
];
const links = [
	{
		name: 'tpe-sin',
		between: ['tpe', 'sin'] as [string, string],
		delayMs: 12,
		bytesPerSecond: 1,
	},
	{
		name: 'tpe-fra',
		between: ['tpe', 'fra'] as [string, string],
		delayMs: 90,
		bytesPerSecond: 1,
	},
];

function createFleet(): MemberFleet {
	const fleet = new MemberFleet(networkSeed);
	fleet.configuration.set({customers, links});
	for (const region of ['tpe', 'sin', 'fra']) {
		for (const number of [1, 2, 3]) {
			fleet.start(`${region}-${number}`, region);
		}
	}

	fleet.schedule.advance(2000);
	return fleet;
}

function listFirstHosts(fleet: MemberFleet, customer: string): Set<string> {
	const names = new Set<string>();
	for (const host of fleet.hosts.slice(0, 3)) {
		for (let caller = 1; caller < 100; caller++) {
			const address = `192.0.2.${caller}`;
			names.add(fleet.lookUp(host, customer, address)[0]!.name);
		}
	}

	return names;
}

describe('look-up', () => {
	it('sends a small customer to one host of the region and a large one to all', () => {
		const fleet = createFleet();
		expect(listFirstHosts(fleet, 'small').size).toEqual(1);
		expect(listFirstHosts(fleet, 'large').size).toEqual(3);
	});

	it('lists the nearest region first and others as fallbacks', () => {
		const fleet = createFleet();
		const answer = fleet.lookUp(fleet.hosts[0]!, 'small');
		expect(answer.map(({region}) => region)).toEqual([
			'tpe',
			'tpe',
			'sin',
			'fra',
		]);
	});

	it('omits a drained entry host unless all are drained', () => {
		const fleet = createFleet();
		const drains = fleet.hosts.map(({name}) => ({
			name: `drain-${name}`,
			target: {kind: 'entry-host' as const, name},
			state: 'running' as const,
		}));
		fleet.configuration.set({customers, links, drains: drains.slice(0, 1)});
		for (const host of fleet.hosts) {
			const answer = fleet.lookUp(host, 'small');
			expect(answer.some(({name}) => name === 'tpe-1')).toEqual(false);
		}

		fleet.configuration.set({customers, links, drains});
		expect(fleet.lookUp(fleet.hosts[0]!, 'small').length > 0).toEqual(true);
	});

	it('moves look-ups away from a host with more requests than the others', () => {
		const fleet = createFleet();
		const [loaded] = fleet.hosts;
		const countFirstChoices = () => {
			let count = 0;
			for (let caller = 1; caller < 250; caller++) {
				const address = `192.0.2.${caller}`;
				const [first] = fleet.lookUp(fleet.hosts[1]!, 'large', address);
				count += first!.name === loaded!.name ? 1 : 0;
			}

			return count;
		};

		const before = countFirstChoices();
		for (let request = 0; request < 3000; request++) {
			fleet.schedule.advance(10);
			fleet.deliver(loaded!, {
				type: 'request-arrived',
				requestId: String(request),
				method: 'GET',
				path: '/',
				keyHash: undefined,
				callerAddress: '192.0.2.1',
				idempotencyKey: undefined,
				fingerprint: '',
				bodyBytes: undefined,
				deadline: undefined,
			});
		}

		expect(countFirstChoices() < before / 2).toEqual(true);
	});

	it("finds a caller's region by its subnet", () => {
		const clientBlocks = createClientBlockTable();
		clientBlocks.set('192.0.2.0/24', 1);
		const configuration = new FakeConfiguration();
		configuration.set({links});
		const kernel = createKernel({
			self: createEntryHost('tpe-1', 1, 'tpe'),
			random: () => 0,
		});
		kernel.provide(configurationKey, configuration);
		kernel.use(
			createMembership({
				sitesBySubnet: clientBlocks,
				regionsBySite: ['tpe', 'sin'],
			}),
		);
		const other = createEntryHost('sin-1', 1, 'sin');
		kernel.handle({type: 'hosts-listed', hosts: [other]}, 0);
		kernel.handle(
			{
				type: 'peer-message',
				from: other,
				topic: 'membership/heartbeat',
				payload: {
					counter: 0,
					leaving: false,
					weight: 1,
					load: 0,
					updates: [],
				},
			},
			300,
		);
		const [answer] = kernel.handle(
			{
				type: 'look-up-arrived',
				lookUpId: '1',
				keyHash: undefined,
				callerAddress: '192.0.2.7',
			},
			400,
		);
		expect(
			answer?.type === 'answer-look-up' && answer.hosts.map(({name}) => name),
		).toEqual(['sin-1', 'tpe-1']);
	});
});
