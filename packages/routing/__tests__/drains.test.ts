import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Drain} from '@parsleyvale/shared';
import {RoutingHost} from './support/routing-host.js';
import {createTestConfiguration} from './support/test-configuration.js';

const configuration = createTestConfiguration();
const route = configuration.routes[0]!;

function createDrained(target: Drain['target']) {
	return createTestConfiguration({
		drains: [{name: 'planned', target, state: 'running'}],
	});
}

function listPlaces(host: RoutingHost, count: number): Set<string> {
	const places = new Set<string>();
	for (let index = 0; index < count; index++) {
		const result = host.choose(route);
		if (result.isOk) {
			places.add(result.value.server.name);
		}
	}

	return places;
}

describe('drains', () => {
	it('send nothing new and let what runs end', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const running = host.choose(route).unwrapOr(undefined)!;
		host.applyConfiguration(createDrained({kind: 'region', name: 'tpe'}));
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(0);
		expect(host.budgets.getInUse('room/reader-desk/tpe')).toEqual(1);
		expect(
			[...listPlaces(host, 30)].some((name) => name.startsWith('tpe')),
		).toEqual(false);
		host.end(running);
		expect(host.budgets.getInUse('room/reader-desk/tpe')).toEqual(0);
		expect(
			host.effects.some((effect) => effect.type === 'cancel-attempt'),
		).toEqual(false);
	});

	it('take a failure domain out of the room of its region', () => {
		const host = new RoutingHost();
		host.applyConfiguration(
			createDrained({kind: 'failure-domain', region: 'tpe', name: 'tpe-a'}),
		);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(4);
		const places = [...listPlaces(host, 30)];
		expect(places.some((name) => name.startsWith('tpe-a'))).toEqual(false);
	});

	it('hold for servers that the platform lists as leaving', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		host.plugin.onServersLeaving(['tpe-a-0', 'tpe-a-1'], host.context);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(4);
		const places = [...listPlaces(host, 30)];
		expect(places.some((name) => name.startsWith('tpe-a'))).toEqual(false);
		host.applyConfiguration(configuration);
		expect(host.budgets.getTotal('room/reader-desk/tpe')).toEqual(4);
	});

	it('end in a ramp: a server that returns is cold', () => {
		const host = new RoutingHost();
		host.applyConfiguration(createDrained({kind: 'region', name: 'tpe'}));
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
