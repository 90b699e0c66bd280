import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Choice} from '@parsleyvale/kernel';
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

	it('fills other regions to the brim without the reservation', () => {
		const host = new RoutingHost({safeguards: {reserve: false}});
		host.applyConfiguration(configuration);
		const placed = Array.from({length: 25}, () => host.choose(route));
		expect(placed.filter((result) => result.isOk).length).toEqual(24);
	});

	it('waits at home while that costs less than the way on', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		takeHome(host, 10);
		const waiting = host.choose(route, {requestId: 'patient'});
		expect(waiting.isErr && waiting.error).toEqual(ErrorKind.NoRoom);
		// The way to the next region and back takes 24 ms.
		host.now = 24;
		const moved = host.choose(route, {requestId: 'patient'});
		expect(moved.unwrapOr(undefined)?.server.region).toEqual('fra');
	});

	it('goes on at once when waiting would cost more than the way', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		takeHome(host, 400);
		const moved = host.choose(route);
		expect(moved.unwrapOr(undefined)?.server.region).toEqual('fra');
	});

	it('raises room-changed for those who wait when a request ends', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const placed = takeHome(host, 10);
		host.end(placed[0]!);
		expect(host.raised).toEqual([]);
		host.choose(route);
		host.choose(route);
		host.end(placed[1]!);
		expect(host.raised).toEqual([{type: 'room-changed', pool: 'reader-desk'}]);
	});

	it('refuses what way and service time leave no time for', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		host.end(host.choose(route).unwrapOr(undefined)!, {latency: 100});
		const refusal = host.choose(route, {deadline: 99});
		expect(refusal.isErr && refusal.error).toEqual(ErrorKind.DeadlineTooShort);
		expect(host.choose(route, {deadline: 100}).isOk).toEqual(true);
	});

	it('forgets service times, so that no refusal keeps itself up', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		host.end(host.choose(route).unwrapOr(undefined)!, {latency: 1900});
		expect(host.choose(route, {deadline: 1000}).isErr).toEqual(true);
		host.now = 11_000;
		expect(host.choose(route, {deadline: 12_000}).isOk).toEqual(true);
	});

	it('takes the bytes of both ways for a request to another region', () => {
		const host = new RoutingHost();
		host.applyConfiguration(
			createTestConfiguration({
				drains: [
					{
						name: 'out',
						target: {kind: 'region', name: 'tpe'},
						state: 'running',
					},
				],
			}),
		);
		const choice = host.choose(route, {bodyBytes: 5000}).unwrapOr(undefined);
		expect(choice?.held).toEqual([
			{budgetId: 'room/reader-desk/fra', amount: 1},
			{budgetId: 'link/tpe/fra', amount: 5000},
			{budgetId: 'link/fra/tpe', amount: 16_384},
		]);
		// What the answer moved beyond that is taken with the next request.
		host.end(choice!, {bytes: 5000 + 16_384 + 700});
		const next = host.choose(route, {bodyBytes: 5000}).unwrapOr(undefined);
		expect(next?.held.at(-1)).toEqual({
			budgetId: 'link/fra/tpe',
			amount: 17_084,
		});
	});

	it('places nothing in a region whose link has no bytes left', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		takeHome(host, 400);
		for (const id of ['link/tpe/fra', 'link/tpe/sin']) {
			host.budgets.take(id, host.budgets.getAvailable(id, 0) - 100, 0);
		}

		const moved = host.choose(route, {bodyBytes: 5000});
		expect(moved.isErr && moved.error).toEqual(ErrorKind.NoRoom);
		expect(host.budgets.getInUse('room/reader-desk/fra')).toEqual(0);
	});

	it('spreads the bytes of a large body over the requests after it', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		takeHome(host, 400);
		const sizes = [600_000, 0, 0, 0].map((bodyBytes) => {
			const choice = host.choose(route, {bodyBytes}).unwrapOr(undefined);
			return choice?.held[1]?.amount;
		});
		expect(sizes).toEqual([262_144, 262_144, 75_714, 1]);
	});
});

/** Fills the home region after one answer that took so long. */
function takeHome(host: RoutingHost, latency: number): Choice[] {
	host.end(host.choose(route).unwrapOr(undefined)!, {latency});
	return Array.from({length: 8}, () => host.choose(route).unwrapOr(undefined)!);
}
