import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Drain} from '@parsleyvale/shared';
import {RoutingHost} from './support/routing-host.js';
import {createTestConfiguration} from './support/test-configuration.js';

const configuration = createTestConfiguration();
const route = configuration.routes[0]!;

function createDrainedConfiguration(target: Drain['target']) {
	return createTestConfiguration({
		drains: [{name: 'planned', target, state: 'running'}],
	});
}

function chooseServerNames(host: RoutingHost, count: number): Set<string> {
	const serverNames = new Set<string>();
	for (let index = 0; index < count; index++) {
		const result = host.choose(route);
		if (result.isOk) {
			serverNames.add(result.value.server.name);
		}
	}

	return serverNames;
}

describe('drains', () => {
	it('send no new requests and let running requests finish', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const inFlight = host.choose(route).unwrapOr(undefined)!;
		host.applyConfiguration(
			createDrainedConfiguration({kind: 'region', name: 'tpe'}),
		);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(0);
		expect(host.budgets.getInUse('room/reader-desk/tpe')).toEqual(1);
		expect(
			[...chooseServerNames(host, 30)].some((name) => name.startsWith('tpe')),
		).toEqual(false);
		host.end(inFlight);
		expect(host.budgets.getInUse('room/reader-desk/tpe')).toEqual(0);
		expect(
			host.effects.some((effect) => effect.type === 'cancel-attempt'),
		).toEqual(false);
	});

	it('exclude a failure domain from the capacity of its region', () => {
		const host = new RoutingHost();
		host.applyConfiguration(
			createDrainedConfiguration({
				kind: 'failure-domain',
				region: 'tpe',
				name: 'tpe-a',
			}),
		);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(4);
		const serverNames = [...chooseServerNames(host, 30)];
		expect(serverNames.some((name) => name.startsWith('tpe-a'))).toEqual(false);
	});

	it('apply to servers that the platform lists as leaving', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		host.plugin.onServersLeaving(['tpe-a-0', 'tpe-a-1'], host.context);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(4);
		const serverNames = [...chooseServerNames(host, 30)];
		expect(serverNames.some((name) => name.startsWith('tpe-a'))).toEqual(false);
		host.applyConfiguration(configuration);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(4);
	});

	it('are followed by slow start when a server returns', () => {
		const host = new RoutingHost();
		host.applyConfiguration(
			createDrainedConfiguration({kind: 'region', name: 'tpe'}),
		);
		host.applyConfiguration(configuration);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(1);
		host.now = 15_000;
		host.handle({type: 'tick'});
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(4);
		host.now = 30_000;
		host.handle({type: 'tick'});
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(8);
	});
});
