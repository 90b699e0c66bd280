import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Shift} from '@parsleyvale/shared';
import {RoutingHost} from './support/routing-host.js';
import {createTestConfiguration} from './support/test-configuration.js';

function createHost(shift: Partial<Shift>): RoutingHost {
	const host = new RoutingHost();
	host.applyConfiguration(
		createTestConfiguration({
			serversPerDomain: 8,
			shifts: [
				{
					name: 'to-sin',
					pool: 'reader-desk',
					from: 'tpe',
					to: 'sin',
					share: 1,
					capPerSecond: 100,
					capBurst: 100,
					rampMs: 0,
					state: 'running',
					...shift,
				},
			],
		}),
	);
	return host;
}

const route = createTestConfiguration().routes[0]!;

function chooseRegions(host: RoutingHost, count: number): string[] {
	return Array.from({length: count}, () => {
		const choice = host.choose(route).unwrapOr(undefined);
		return choice?.server.region ?? 'none';
	});
}

describe('shifts', () => {
	it('move requests up to their cap and leave the rest', () => {
		const host = createHost({capPerSecond: 1, capBurst: 2});
		expect(chooseRegions(host, 4)).toEqual(['sin', 'sin', 'tpe', 'tpe']);
		host.now = 1000;
		expect(chooseRegions(host, 2)).toEqual(['sin', 'tpe']);
	});

	it('move no requests beyond the spare capacity of the target', () => {
		const host = createHost({});
		const regions = chooseRegions(host, 32);
		// A fifth of the 32 slots stays reserved for the region's own requests.
		expect(regions.filter((region) => region === 'sin').length).toEqual(25);
		expect(regions.filter((region) => region === 'tpe').length).toEqual(7);
	});

	it('pause when the target fails, with a log line and a metric', () => {
		const host = createHost({});
		for (let count = 0; count < 20; count++) {
			const choice = host.choose(route).unwrapOr(undefined)!;
			expect(choice.server.region).toEqual('sin');
			host.end(choice, {status: 500});
		}

		host.handle({type: 'tick'});
		expect(chooseRegions(host, 2)).toEqual(['tpe', 'tpe']);
		const pauses = host.effects.filter(
			(effect) =>
				(effect.type === 'log' &&
					effect.message === 'Shift paused: target region degraded') ||
				(effect.type === 'count' && effect.labels.outcome === 'paused'),
		);
		expect(pauses.length).toEqual(2);
		host.now = 10_000;
		host.handle({type: 'tick'});
		expect(chooseRegions(host, 1)).toEqual(['sin']);
	});
});
