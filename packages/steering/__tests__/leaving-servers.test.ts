import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createConfiguration, createRoute} from './support/configuration.js';
import {createHost, createServer} from './support/kernel-session.js';
import {StoreSimulation, type Outage} from './support/store-simulation.js';

const failureDomains = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'];
const hosts = failureDomains.map((failureDomain, index) =>
	createHost({
		name: `host-${failureDomain}`,
		incarnation: `host-${failureDomain}/1`,
		callers: `10.0.0.${index}:1`,
		peerAddress: `10.0.0.${index}`,
		region: index < 5 ? 'east' : 'west',
		failureDomain,
	}),
);
const serverIds = ['s0', 's1', 's2', 's3'];
const configuration = createConfiguration({
	routes: serverIds.map((id) =>
		createRoute({
			name: id,
			pathPrefix: `/${id}/`,
			targets: [{service: id, weight: 1}],
		}),
	),
	services: serverIds.map((name) => ({
		name,
		coldRatePerSecond: 3,
		maximumConnections: 300,
	})),
});
const servers = serverIds.map((id) =>
	createServer({id, service: id, failureDomain: 'a', slots: 50}),
);
const end = 24_000;
/** Within this time after its announcement, a leaving server may still get requests. */
const drainTime = 2000;
/** Hosts and leaves count from this time after a disruption. */
const stableTime = 3000;

type Leave = {
	readonly at: number;
	readonly announces: boolean;
};

/** Hosts that were turned away before an outage of the whole store notice its end last. */
const lateRegain: [Outage[], Leave[], number] = [
	[
		{from: 7736, duration: 7171, hosts: [9, 0, 7, 3]},
		{from: 13_762, duration: 3997, hosts: undefined},
	],
	[
		{at: 20_993, announces: false},
		{at: 5001, announces: true},
		{at: 20_967, announces: false},
		{at: 14_315, announces: false},
	],
	798_216_821,
];

/** The store returns from an older copy, in which a server that leaves later has a higher revision. */
const returnFromCopy: [Outage[], Leave[], number] = [
	[{from: 8000, duration: 2000, hosts: undefined, copyAge: 2500}],
	[
		{at: 14_000, announces: true},
		{at: 14_500, announces: false},
		{at: 15_000, announces: true},
		{at: 7000, announces: true},
	],
	1,
];

/** Returns the requests that reached leaving servers too late. */
function listLateRequests(
	outages: readonly Outage[],
	leaves: readonly Leave[],
	seed: number,
): string[] {
	const simulation = new StoreSimulation({
		hosts,
		configuration,
		servers,
		outages,
		seed,
	});
	for (const {from, copyAge = 0} of outages) {
		// More revisions are lost than are given out again.
		for (let age = 0; age < copyAge; age += 100) {
			simulation.schedule(from - age, () => {
				simulation.changeOther();
			});
		}
	}

	const late: string[] = [];
	const targets = new Set<string | undefined>();
	for (const [index, {at, announces}] of leaves.entries()) {
		const server = servers[index]!;
		simulation.schedule(at, () => {
			simulation.change(
				server.id,
				announces ? {...server, isDraining: true} : undefined,
			);
		});
		const isStoreStable = outages.every(
			({from, duration, hosts: affected}) =>
				affected !== undefined ||
				at < from ||
				at >= from + duration + stableTime,
		);
		for (let time = 2000; time < end; time += 100) {
			simulation.schedule(time, () => {
				for (const host of simulation.hosts) {
					const target = simulation.findTarget(host, `/${server.id}/x`);
					targets.add(target);
					const isInTouch = !simulation.isAffected(host, time, stableTime);
					if (
						target !== undefined &&
						isStoreStable &&
						isInTouch &&
						time > at + drainTime
					) {
						const {name} = host.kernel.self;
						late.push(`${server.id} from ${name}, ${time - at} ms after`);
					}
				}
			});
		}
	}

	simulation.runUntil(end);
	expect(serverIds.every((id) => targets.has(id))).toEqual(true);
	return late;
}

describe('a leaving server', () => {
	it('gets no request two seconds later from hosts that the store serves', () => {
		const outage = fc.record({
			from: fc.integer({min: 3000, max: 14_000}),
			duration: fc.integer({min: 300, max: 9000}),
			copyAge: fc.option(fc.integer({min: 0, max: 3000}), {
				nil: undefined,
			}),
			hosts: fc.option(
				fc.uniqueArray(fc.nat({max: hosts.length - 1}), {
					minLength: 1,
					maxLength: 4,
				}),
				{nil: undefined, freq: 3},
			),
		});
		const leave = fc.record({
			at: fc.integer({min: 5000, max: 21_000}),
			announces: fc.boolean(),
		});
		fc.assert(
			fc.property(
				fc.array(outage, {maxLength: 3}),
				fc.array(leave, {minLength: 4, maxLength: 4}),
				fc.nat(),
				(outages, leaves, seed) => {
					expect(listLateRequests(outages, leaves, seed)).toEqual([]);
				},
			),
			{
				numRuns: 12,
				seed: 28,
				endOnFailure: true,
				examples: [lateRegain, returnFromCopy],
			},
		);
	});
});
