import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ErrorKind} from '@parsleyvale/shared';
import {RoutingHost} from './support/routing-host.js';
import {createTestConfiguration} from './support/test-configuration.js';

const configuration = createTestConfiguration();
const route = configuration.routes[0]!;

describe('request router', () => {
	it('places in the own failure domain, then the region, then the next', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const places = Array.from({length: 9}, () => {
			const {server} = host.choose(route).unwrapOr(undefined as never);
			return server.region === 'tpe' ? server.failureDomain : server.region;
		});
		expect(places).toEqual([
			...Array.from({length: 4}, () => 'tpe-a'),
			...Array.from({length: 4}, () => 'tpe-b'),
			'fra',
		]);
	});

	it('leaves a part of other regions free, then refuses with no room', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const places = Array.from({length: 20}, () => {
			const {server} = host.choose(route).unwrapOr(undefined as never);
			return server.region;
		});
		expect(places).toEqual([
			...Array.from({length: 8}, () => 'tpe'),
			...Array.from({length: 6}, () => 'fra'),
			...Array.from({length: 6}, () => 'sin'),
		]);
		const refusal = host.choose(route);
		expect(refusal.isErr && refusal.error).toEqual(ErrorKind.NoRoom);
		// At home this host's own limit at each server binds, not its share.
		expect(host.budgets.wanted.slice(-2)).toEqual([
			'room/reader-desk/fra',
			'room/reader-desk/sin',
		]);
	});
});
