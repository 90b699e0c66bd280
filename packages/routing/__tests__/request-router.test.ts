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

	it('refuses with no room when every region is full and wants a share', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		for (let count = 0; count < 24; count++) {
			expect(host.choose(route).isOk).toEqual(true);
		}

		const refusal = host.choose(route);
		expect(refusal.isErr && refusal.error).toEqual(ErrorKind.NoRoom);
	});
});
