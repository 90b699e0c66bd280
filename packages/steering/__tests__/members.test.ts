import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Members} from '../src/members.js';
import {createDigest, createHost} from './support/kernel-session.js';

/** Creates the members of a large fleet, all heard from at time 0. */
function createMembers(count: number): Members {
	const members = new Members('self');
	for (let index = 0; index < count; index++) {
		members.onDigest(createDigest({name: `host-${index}`, sequence: 1}), 0);
	}

	return members;
}

const tickDuration = 50;

describe('the lists of a fleet of 200 and of 1,000 hosts', () => {
	for (const count of [200, 1000]) {
		it(`contain a host as soon as it is heard from (${count} hosts)`, () => {
			const members = createMembers(count);
			expect(members.listLive(1).length).toEqual(count);
			members.onDigest(createDigest({name: 'new', sequence: 1}), 2);
			expect(members.listLive(2).length).toEqual(count + 1);
			expect(members.listShareHolders(2).length).toEqual(count + 1);
			expect(members.listKnown().length).toEqual(count + 1);
		});

		it(`do not contain a silent host for longer than a tick (${count} hosts)`, () => {
			const members = createMembers(count);
			const timeout = Math.max(1600, 60 * count);
			expect(members.listLive(timeout).length).toEqual(count);
			members.onDigest(createDigest({name: 'host-0', sequence: 2}), timeout);
			const live = members.listLive(timeout + tickDuration);
			expect(live.map(({host}) => host.name)).toEqual(['host-0']);
			expect(members.isLive('host-1', timeout + 1)).toEqual(false);
		});
	}

	it('are empty right after a suspension of this process', () => {
		const members = createMembers(200);
		expect(members.listLive(1).length).toEqual(200);
		members.onSuspended();
		expect(members.listLive(1)).toEqual([]);
		expect(members.isLive('host-1', 1)).toEqual(false);
	});

	it('contain the newest digest of each host, also between two ticks', () => {
		const members = createMembers(200);
		const [first] = members.listLive(1);
		members.onDigest(
			createDigest({name: 'host-0', sequence: 2, requestsPerSecond: 7}),
			2,
		);
		expect(first!.digest!.requestsPerSecond).toEqual(7);
	});

	it('do not contain a host that is no longer listed or heard from', () => {
		const members = createMembers(200);
		const listed = [createHost({name: 'host-0', incarnation: 'other'})];
		members.onListed(listed, 60_000);
		expect(members.listKnown().map(({host}) => host.name)).toEqual(['host-0']);
	});
});
