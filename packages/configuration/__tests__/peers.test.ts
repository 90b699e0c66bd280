import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ErrorKind} from '@parsleyvale/shared';
import {computeDelta, mergeDelta} from '../src/configuration-delta.js';
import {Fleet} from './fleet.js';
import {createSample, keyHashes, keyNames} from './samples.js';

const networkSeed = 3;
const seed = 31;

/** The slow store takes up to 1.8 s for a write. */
const maxWaitMs = {
	none: 3000,
	'one host cut off': 3000,
	'store slow': 5000,
};

function createFleet(): Fleet {
	const fleet = new Fleet(networkSeed);
	for (const name of ['a', 'b', 'c']) {
		fleet.start(name);
	}

	fleet.deliver(fleet.getHost(0), {
		type: 'configuration-proposed',
		operationId: 'first',
		expectedVersion: 0,
		configuration: createSample(0),
	});
	fleet.schedule.advance(3000);
	return fleet;
}

describe('configuration sync between peers', () => {
	it('reaches a process that starts while the store is down', () => {
		const fleet = createFleet();
		fleet.store.mode = 'down';
		fleet.start('b');
		expect(fleet.getHost(1).view.current).toEqual(undefined);
		fleet.schedule.advance(2000);
		expect(fleet.getHost(1).view.current?.version).toEqual(1);
		expect(fleet.identify(fleet.getHost(1), keyHashes[0]!)).toEqual(true);
	});

	it('reaches a host that is cut off from the store', () => {
		const fleet = createFleet();
		fleet.cutOffFromStore.add('c');
		fleet.deliver(fleet.getHost(0), {
			type: 'configuration-proposed',
			operationId: 'second',
			expectedVersion: 1,
			configuration: createSample(1),
		});
		fleet.schedule.advance(200);
		expect(fleet.getHost(2).view.current?.version).toEqual(2);
	});

	it('reports the active version of every host', () => {
		const fleet = createFleet();
		fleet.schedule.advance(1000);
		const host = fleet.getHost(2);
		const versions = host.plugin.listVersions(
			host.toLocalTime(fleet.schedule.now),
		);
		expect(versions.map(({host: name, version}) => [name, version])).toEqual([
			['a', 1],
			['b', 1],
			['c', 1],
		]);
	});

	it('keeps a majority authenticating during a store outage, but not an isolated host', () => {
		const fleet = createFleet();
		fleet.store.mode = 'down';
		fleet.partition('a', 'c');
		fleet.partition('b', 'c');
		fleet.schedule.advance(5000);
		const [a, b, c] = fleet.hosts;
		expect(fleet.identify(a!, keyHashes[0]!)).toEqual(true);
		expect(fleet.identify(b!, keyHashes[0]!)).toEqual(true);
		const now = c!.toLocalTime(fleet.schedule.now);
		const found = c!.view.identify(keyHashes[0]!, now);
		expect(found.isErr && found.error).toEqual(ErrorKind.KeysNotFresh);
	});

	it('does not count a host without known peers as a majority', () => {
		const fleet = new Fleet(networkSeed);
		fleet.isListing = false;
		fleet.start('a');
		const [host] = fleet.hosts;
		fleet.deliver(host!, {
			type: 'configuration-proposed',
			operationId: 'first',
			expectedVersion: 0,
			configuration: createSample(0),
		});
		fleet.schedule.advance(1000);
		expect(fleet.identify(host!, keyHashes[0]!)).toEqual(true);
		fleet.cutOffFromStore.add('a');
		fleet.schedule.advance(3000);
		expect(fleet.identify(host!, keyHashes[0]!)).toEqual(false);
	});

	it('reproduces the newest configuration from a delta', () => {
		const property = fc.property(
			fc.nat(9),
			fc.nat(9),
			fc.subarray([0, 1, 2, 3]),
			(first, second, keyIndexes) => {
				const before = {
					version: 4,
					operationId: 'x',
					configuration: createSample(first),
				};
				const configuration = createSample(second);
				configuration.keys = keyIndexes.map(
					(index) => configuration.keys[index]!,
				);
				const after = {version: 5, operationId: 'y', configuration};
				const delta = computeDelta(before, after);
				expect(mergeDelta(before, delta)).toEqual(after);
				expect(mergeDelta({...before, version: 3}, delta)).toEqual(undefined);
			},
		);
		fc.assert(property, {seed});
	});

	for (const fault of ['none', 'one host cut off', 'store slow'] as const) {
		it(`acknowledges a withdrawal within seconds of virtual time; fault: ${fault}`, () => {
			const fleet = createFleet();
			if (fault === 'one host cut off') {
				fleet.cutOffFromStore.add('c');
				fleet.partition('a', 'c');
				fleet.partition('b', 'c');
			} else if (fault === 'store slow') {
				fleet.store.mode = 'slow';
			}

			const requestedAt = fleet.schedule.now;
			fleet.deliver(fleet.getHost(0), {
				type: 'key-withdrawal-requested',
				operationId: 'withdrawal',
				keyName: keyNames[0],
			});
			fleet.schedule.advance(10_000);
			const {answer, at} = fleet.answers.at(-1)!;
			expect(answer.result.kind).toEqual('accepted');
			expect(
				at - requestedAt > 2000 && at - requestedAt <= maxWaitMs[fault],
			).toEqual(true);
		});
	}
});
