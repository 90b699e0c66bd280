import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ErrorKind} from '@parsleyvale/shared';
import {computeDelta, mergeDelta} from '../src/configuration-delta.js';
import {Fleet} from './fleet.js';
import {createSample, keyHashes, keyNames} from './samples.js';

const networkSeed = 3;
const seed = 31;

/** A slow store takes up to 1.8 s for the write. */
const longestWait = {
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

describe('configuration through peers', () => {
	it('reaches a process that starts while the store is down', () => {
		const fleet = createFleet();
		fleet.store.mode = 'down';
		fleet.start('b');
		expect(fleet.getHost(1).view.current).toEqual(undefined);
		fleet.schedule.advance(2000);
		expect(fleet.getHost(1).view.current?.version).toEqual(1);
		expect(fleet.identify(fleet.getHost(1), keyHashes[0]!)).toEqual(true);
	});

	it('reaches a host that is cut from the store', () => {
		const fleet = createFleet();
		fleet.cutFromStore.add('c');
		fleet.deliver(fleet.getHost(0), {
			type: 'configuration-proposed',
			operationId: 'second',
			expectedVersion: 1,
			configuration: createSample(1),
		});
		fleet.schedule.advance(200);
		expect(fleet.getHost(2).view.current?.version).toEqual(2);
	});

	it('tells any host which version is in force on each', () => {
		const fleet = createFleet();
		fleet.schedule.advance(1000);
		const host = fleet.getHost(2);
		const versions = host.plugin.listVersions(host.toLocal(fleet.schedule.now));
		expect(versions.map(({host: name, version}) => [name, version])).toEqual([
			['a', 1],
			['b', 1],
			['c', 1],
		]);
	});

	it('lets the others go on in an outage and stops a host that is alone', () => {
		const fleet = createFleet();
		fleet.store.mode = 'down';
		fleet.cut('a', 'c');
		fleet.cut('b', 'c');
		fleet.schedule.advance(5000);
		const [a, b, c] = fleet.hosts;
		expect(fleet.identify(a!, keyHashes[0]!)).toEqual(true);
		expect(fleet.identify(b!, keyHashes[0]!)).toEqual(true);
		const now = c!.toLocal(fleet.schedule.now);
		const found = c!.view.identify(keyHashes[0]!, now);
		expect(found.isErr && found.error).toEqual(ErrorKind.KeysNotFresh);
	});

	it('gives a host that knows no other no right by its own vote', () => {
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
		fleet.cutFromStore.add('a');
		fleet.schedule.advance(3000);
		expect(fleet.identify(host!, keyHashes[0]!)).toEqual(false);
	});

	it('takes the newest from peers in a delta that gives the same whole', () => {
		const property = fc.property(
			fc.nat(9),
			fc.nat(9),
			fc.subarray([0, 1, 2, 3]),
			(first, second, kept) => {
				const before = {
					version: 4,
					operationId: 'x',
					configuration: createSample(first),
				};
				const configuration = createSample(second);
				configuration.keys = kept.map((index) => configuration.keys[index]!);
				const after = {version: 5, operationId: 'y', configuration};
				const delta = computeDelta(before, after);
				expect(mergeDelta(before, delta)).toEqual(after);
				expect(mergeDelta({...before, version: 3}, delta)).toEqual(undefined);
			},
		);
		fc.assert(property, {seed});
	});

	for (const fault of ['none', 'one host cut off', 'store slow'] as const) {
		it(`acknowledges a withdrawal in seconds of virtual time; fault: ${fault}`, () => {
			const fleet = createFleet();
			if (fault === 'one host cut off') {
				fleet.cutFromStore.add('c');
				fleet.cut('a', 'c');
				fleet.cut('b', 'c');
			} else if (fault === 'store slow') {
				fleet.store.mode = 'slow';
			}

			const asked = fleet.schedule.now;
			fleet.deliver(fleet.getHost(0), {
				type: 'key-withdrawal-requested',
				operationId: 'withdrawal',
				keyName: keyNames[0],
			});
			fleet.schedule.advance(10_000);
			const {answer, at} = fleet.answers.at(-1)!;
			expect(answer.result.kind).toEqual('accepted');
			expect(at - asked > 2000 && at - asked <= longestWait[fault]).toEqual(
				true,
			);
		});
	}
});
