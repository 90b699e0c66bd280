import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Choice} from '@parsleyvale/kernel';
import {RoutingHost} from './support/routing-host.js';
import {createTestConfiguration} from './support/test-configuration.js';

const configuration = createTestConfiguration();
const route = configuration.routes[0]!;
const all = configuration.pools[0]!.servers.map((server) => server.name);

/** Sends requests to one server only; `undefined` when it takes none. */
function chooseServer(host: RoutingHost, name: string): Choice | undefined {
	const avoid = all.filter((other) => other !== name);
	return host.choose(route, {avoid}).unwrapOr(undefined);
}

function runFailures(host: RoutingHost, name: string, times: number): void {
	for (let count = 0; count < times; count++) {
		host.end(chooseServer(host, name)!, {outcome: 'unknown'});
	}
}

function createHost(): RoutingHost {
	const host = new RoutingHost();
	host.applyConfiguration(configuration);
	return host;
}

describe('ejection', () => {
	it('gives a server one request at a time after a failure', () => {
		const host = createHost();
		runFailures(host, 'tpe-a-0', 1);
		const only = chooseServer(host, 'tpe-a-0')!;
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
		host.end(only);
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
	});

	it('ejects after three failures and tries again by one request', () => {
		const host = createHost();
		runFailures(host, 'tpe-a-0', 3);
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
		host.now = 1000;
		runFailures(host, 'tpe-a-0', 1);
		host.now = 2999;
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
		host.now = 3000;
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
	});

	it('takes a recovered server back along the ramp', () => {
		const host = createHost();
		runFailures(host, 'tpe-a-0', 3);
		host.now = 1000;
		host.end(chooseServer(host, 'tpe-a-0')!);
		host.end(chooseServer(host, 'tpe-a-0')!);
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
	});

	it('ejects no more than half of a region and then doubts itself', () => {
		const host = createHost();
		runFailures(host, 'tpe-a-0', 3);
		runFailures(host, 'tpe-a-1', 3);
		runFailures(host, 'tpe-b-0', 3);
		expect(
			['tpe-a-0', 'tpe-a-1', 'tpe-b-0'].map(
				(name) => chooseServer(host, name)?.server.name,
			),
		).toEqual(['tpe-a-0', 'tpe-a-1', 'tpe-b-0']);
		const messages = host.effects.flatMap((effect) =>
			effect.type === 'log' ? [effect.message] : [],
		);
		expect(messages).toEqual([
			'Backend server ejected',
			'Backend server ejected',
			'Too many backend servers fail: ejections of the region ended',
		]);
	});

	it('ejects by a success rate far below that of the region', () => {
		const host = createHost();
		for (let count = 0; count < 40; count++) {
			host.end(chooseServer(host, 'tpe-b-0')!);
			host.end(chooseServer(host, 'tpe-a-1')!);
			const choice = chooseServer(host, 'tpe-a-0');
			if (choice !== undefined) {
				host.end(choice, {status: count % 2 === 0 ? 500 : 503});
			}
		}

		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
	});

	it('uses only the trusted part of its share', () => {
		const host = createHost();
		runFailures(host, 'tpe-a-0', 3);
		runFailures(host, 'tpe-a-1', 3);
		const avoid = all.filter((name) => !name.startsWith('tpe'));
		const placed = Array.from({length: 8}, () => host.choose(route, {avoid}));
		expect(placed.filter((result) => result.isOk).length).toEqual(4);
	});
});
