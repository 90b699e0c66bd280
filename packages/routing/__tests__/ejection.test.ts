import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Choice} from '@parsleyvale/kernel';
import {RoutingHost} from './support/routing-host.js';
import {createTestConfiguration} from './support/test-configuration.js';

const configuration = createTestConfiguration();
const route = configuration.routes[0]!;
const serverNames = configuration.pools[0]!.servers.map(
	(server) => server.name,
);

/** Requests a placement on one server only; `undefined` if it accepts none. */
function chooseServer(host: RoutingHost, name: string): Choice | undefined {
	const triedServers = serverNames.filter((other) => other !== name);
	return host.choose(route, {triedServers}).unwrapOr(undefined);
}

function failAttempts(host: RoutingHost, name: string, count: number): void {
	for (let index = 0; index < count; index++) {
		host.end(chooseServer(host, name)!, {outcome: 'unknown'});
	}
}

function createHost(): RoutingHost {
	const host = new RoutingHost();
	host.applyConfiguration(configuration);
	return host;
}

describe('ejection', () => {
	it('limits a server to one request at a time after a failure', () => {
		const host = createHost();
		failAttempts(host, 'tpe-a-0', 1);
		const probe = chooseServer(host, 'tpe-a-0')!;
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
		host.end(probe);
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
	});

	it('ejects after three failures and probes with a single request', () => {
		const host = createHost();
		failAttempts(host, 'tpe-a-0', 3);
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
		host.now = 1000;
		failAttempts(host, 'tpe-a-0', 1);
		host.now = 2999;
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
		host.now = 3000;
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
	});

	it('applies slow start to a recovered server', () => {
		const host = createHost();
		failAttempts(host, 'tpe-a-0', 3);
		host.now = 1000;
		host.end(chooseServer(host, 'tpe-a-0')!);
		host.end(chooseServer(host, 'tpe-a-0')!);
		expect(chooseServer(host, 'tpe-a-0')?.server.name).toEqual('tpe-a-0');
		expect(chooseServer(host, 'tpe-a-0')).toEqual(undefined);
	});

	it('cancels ejections when more than half of a region fails', () => {
		const host = createHost();
		failAttempts(host, 'tpe-a-0', 3);
		failAttempts(host, 'tpe-a-1', 3);
		failAttempts(host, 'tpe-b-0', 3);
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
			'Too many backend servers are failing: ejections in the region cancelled',
		]);
	});

	it('ejects a server with a success rate far below that of the region', () => {
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

	it('uses only the fraction of its share on servers that are not ejected', () => {
		const host = createHost();
		failAttempts(host, 'tpe-a-0', 3);
		failAttempts(host, 'tpe-a-1', 3);
		const avoid = serverNames.filter((name) => !name.startsWith('tpe'));
		const placed = Array.from({length: 8}, () =>
			host.choose(route, {triedServers: avoid}),
		);
		expect(placed.filter((result) => result.isOk).length).toEqual(4);
	});
});
