import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {Fleet} from './fleet.js';

const seed = 5;
const sessions = 200;
const executedResult = {isExecuted: true, repeatable: false};

function createSaturatedFleet(lessonCount: number, schoolCount: number): Fleet {
	const fleet = new Fleet({hosts: 1});
	const [host] = fleet.hosts;
	host!.budgets.tokens.set('customer/lesson', 1000);
	host!.budgets.tokens.set('customer/school', 1000);
	fleet.send(0, {path: '/entries', keyHash: 'key:lesson'});
	fleet.send(0, {path: '/entries', keyHash: 'key:school'});
	for (let index = 0; index < lessonCount; index++) {
		fleet.send(0, {path: '/entries', keyHash: 'key:lesson'});
	}

	for (let index = 0; index < schoolCount; index++) {
		fleet.send(0, {path: '/entries', keyHash: 'key:school'});
	}

	return fleet;
}

/** Lists the customers in the order in which their requests were forwarded. */
function listServedCustomers(
	fleet: Fleet,
	rounds: number,
): Array<string | undefined> {
	const served = [];
	for (let round = 0; round < rounds; round++) {
		fleet.endAttempt(0, 'answered', executedResult);
		served.push(fleet.attempts.at(-1)?.forward.customer);
	}

	return served;
}

describe('fairness in a saturated pool', () => {
	it('serves customers by weight, regardless of order and number of requests', () => {
		const depth = fc.integer({min: 60, max: 400});
		fc.assert(
			fc.property(depth, depth, (lessons, schools) => {
				const fleet = createSaturatedFleet(lessons, schools);
				const served = listServedCustomers(fleet, 60);
				for (let count = 1; count <= served.length; count++) {
					const schoolCount = served
						.slice(0, count)
						.filter((customer) => customer === 'school').length;
					expect(Math.abs(schoolCount - count / 4) <= 1).toEqual(true);
				}
			}),
			{seed, numRuns: sessions},
		);
	});

	it('evicts the newest request of the longest lane when the queue is full', () => {
		const fleet = createSaturatedFleet(500, 900);
		const kinds = [...fleet.oracle.requests].map(
			({customer, kind}) => `${customer}: ${kind ?? 'waits'}`,
		);
		// 1402 requests, of which 2 are forwarded and 1024 queued; weights are 3 to 1.
		expect(kinds.filter((kind) => kind === 'lesson: no-room')).toEqual([]);
		const refused = kinds.filter((kind) => kind === 'school: no-room');
		expect(refused.length).toEqual(1402 - 2 - 1024);
	});

	it('serves a waiting customer when another one floods the queue', () => {
		const fleet = createSaturatedFleet(1000, 0);
		fleet.send(0, {path: '/entries', keyHash: 'key:school'});
		expect(listServedCustomers(fleet, 5)).toInclude('school');
	});

	it('refuses requests early if even a fast answer would miss their deadline', () => {
		const fleet = createSaturatedFleet(0, 0);
		fleet.now = 100;
		fleet.endAttempt(0, 'answered', executedResult);
		fleet.send(0, {path: '/entries', keyHash: 'key:lesson'});
		const school = {path: '/entries', keyHash: 'key:school'};
		fleet.send(0, {...school, deadline: 199});
		fleet.send(0, {...school, deadline: 250});
		const listKinds = (): Array<string | undefined> =>
			[...fleet.oracle.requests].slice(-2).map(({kind}) => kind);
		expect(listKinds()).toEqual(['no-room', undefined]);
		fleet.advance(51);
		expect(listKinds()).toEqual(['no-room', 'no-room']);
	});

	it('serves requests queued behind a body that is too large for a link', () => {
		const fleet = new Fleet({hosts: 1});
		fleet.hosts[0]!.router.maximumBodyBytes = 100;
		const upload = {path: '/purchases', keyHash: 'key:lesson', bodyBytes: 200};
		fleet.send(0, upload);
		fleet.send(0, {path: '/entries', keyHash: 'key:lesson'});
		fleet.send(0, {path: '/entries', keyHash: 'key:school'});
		fleet.advance(1);
		expect(fleet.attempts.length).toEqual(2);
		fleet.hosts[0]!.router.maximumBodyBytes = 300;
		fleet.endAttempt(0, 'answered', executedResult);
		expect(fleet.attempts.at(-1)?.forward.requestId).toEqual('r1');
	});

	const findFirstForwarded = (keepsQueueOrder: boolean): string | undefined => {
		const fleet = new Fleet({
			hosts: 1,
			safeguards: {keepQueueOrder: keepsQueueOrder},
		});
		const [host] = fleet.hosts;
		host!.router.slots = 0;
		fleet.send(0, {path: '/entries', keyHash: 'key:school'});
		host!.router.slots = 1;
		fleet.send(0, {path: '/entries', keyHash: 'key:school'});
		fleet.advance(1);
		return fleet.attempts[0]?.forward.requestId;
	};

	it('does not let arriving requests overtake waiting ones', () => {
		expect(findFirstForwarded(true)).toEqual('r1');
		expect(findFirstForwarded(false)).toEqual('r2');
	});
});
