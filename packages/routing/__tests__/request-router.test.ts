import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Choice} from '@parsleyvale/kernel';
import {ErrorKind} from '@parsleyvale/shared';
import {RoutingHost} from './support/routing-host.js';
import {createTestConfiguration} from './support/test-configuration.js';

const configuration = createTestConfiguration();
const route = configuration.routes[0]!;

describe('request router', () => {
	it('prefers its own failure domain, then its region, then the next region', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const locations = Array.from({length: 9}, () => {
			const {server} = host.choose(route).unwrapOr(undefined as never);
			return server.region === 'tpe' ? server.failureDomain : server.region;
		});
		expect(locations).toEqual([
			...Array.from({length: 4}, () => 'tpe-a'),
			...Array.from({length: 4}, () => 'tpe-b'),
			'fra',
		]);
	});

	it('leaves reserved capacity of other regions free, then refuses with no-room', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const locations = Array.from({length: 20}, () => {
			const {server} = host.choose(route).unwrapOr(undefined as never);
			return server.region;
		});
		expect(locations).toEqual([
			...Array.from({length: 8}, () => 'tpe'),
			...Array.from({length: 6}, () => 'fra'),
			...Array.from({length: 6}, () => 'sin'),
		]);
		const refusal = host.choose(route);
		expect(refusal.isErr && refusal.error).toEqual(ErrorKind.NoRoom);
		// In the own region, the in-flight limit at each server is reached, not the
		// share.
		expect(host.budgets.loanRequests.slice(-2)).toEqual([
			'room/reader-desk/fra',
			'room/reader-desk/sin',
		]);
	});

	it('fills other regions completely without reserved capacity', () => {
		const host = new RoutingHost({safeguards: {reserveCapacity: false}});
		host.applyConfiguration(configuration);
		const placed = Array.from({length: 25}, () => host.choose(route));
		expect(placed.filter((result) => result.isOk).length).toEqual(24);
	});

	it('waits for the nearest region while that takes less than the longer round trip', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		fillLocalRegion(host, 10);
		const waiting = host.choose(route, {requestId: 'patient'});
		expect(waiting.isErr && waiting.error).toEqual(ErrorKind.NoRoom);
		// The round trip to the next region takes 24 ms.
		host.now = 24;
		const moved = host.choose(route, {requestId: 'patient'});
		expect(moved.unwrapOr(undefined)?.server.region).toEqual('fra');
	});

	it('uses the next region at once when waiting would take longer than the round trip', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		fillLocalRegion(host, 400);
		const moved = host.choose(route);
		expect(moved.unwrapOr(undefined)?.server.region).toEqual('fra');
	});

	it('raises room-changed when a request ends while others wait', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		const placed = fillLocalRegion(host, 10);
		host.end(placed[0]!);
		expect(host.raised).toEqual([]);
		host.choose(route);
		host.choose(route);
		host.end(placed[1]!);
		expect(host.raised).toEqual([{type: 'room-changed', pool: 'reader-desk'}]);
	});

	it('refuses requests whose deadline is shorter than round trip and service time', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		host.end(host.choose(route).unwrapOr(undefined)!, {latency: 100});
		const refusal = host.choose(route, {deadline: 99});
		expect(refusal.isErr && refusal.error).toEqual(ErrorKind.DeadlineTooShort);
		expect(host.choose(route, {deadline: 100}).isOk).toEqual(true);
	});

	it('expires service times, so that refusals do not perpetuate themselves', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		host.end(host.choose(route).unwrapOr(undefined)!, {latency: 1900});
		expect(host.choose(route, {deadline: 1000}).isErr).toEqual(true);
		host.now = 11_000;
		expect(host.choose(route, {deadline: 12_000}).isOk).toEqual(true);
	});

	it('takes link bytes in both directions for a request to another region', () => {
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
		expect(choice?.heldAmounts).toEqual([
			{budgetId: 'room/reader-desk/fra', amount: 1},
			{budgetId: 'link/tpe/fra', amount: 5000},
			{budgetId: 'link/fra/tpe', amount: 16_384},
		]);
		// Response bytes beyond the reserved amount are taken with the next
		// request.
		host.end(choice!, {bytes: 5000 + 16_384 + 700});
		const next = host.choose(route, {bodyBytes: 5000}).unwrapOr(undefined);
		expect(next?.heldAmounts.at(-1)).toEqual({
			budgetId: 'link/fra/tpe',
			amount: 17_084,
		});
	});

	it('places no request in a region whose link budget is used up', () => {
		const host = new RoutingHost();
		host.applyConfiguration(configuration);
		fillLocalRegion(host, 400);
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
		fillLocalRegion(host, 400);
		const sizes = [600_000, 0, 0, 0].map((bodyBytes) => {
			const choice = host.choose(route, {bodyBytes}).unwrapOr(undefined);
			return choice?.heldAmounts[1]?.amount;
		});
		expect(sizes).toEqual([262_144, 262_144, 75_714, 1]);
	});
});

/** Fills the own region after one response with the given latency. */
function fillLocalRegion(host: RoutingHost, latency: number): Choice[] {
	host.end(host.choose(route).unwrapOr(undefined)!, {latency});
	return Array.from({length: 8}, () => host.choose(route).unwrapOr(undefined)!);
}
