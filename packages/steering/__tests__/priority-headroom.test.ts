import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HostState} from '../src/host-state.js';
import {ProcessingTimes} from '../src/placement/processing-times.js';
import {
	PriorityHeadroom,
	type HeadroomRequest,
} from '../src/queueing/priority-headroom.js';
import {createConfiguration, createRoute} from './support/configuration.js';
import {
	countResults,
	floodingCustomer,
	partitionHalf,
	runHardLoad,
	seats,
	type CallerResult,
	type HardLoadOptions,
} from './support/hard-load.js';
import {
	createDigest,
	createHost,
	createServer,
	createSettings,
	KernelSession,
} from './support/kernel-session.js';

const route = createRoute({});
const urgent: HeadroomRequest = {
	route,
	service: 'desk',
	priority: 0,
	objectHash: 0,
};
/** Occupies a slot for much longer than an urgent request may wait. */
const lessUrgent: HeadroomRequest = {
	route: createRoute({
		name: 'report',
		latencyObjectiveMs: 4000,
		timeoutMs: 20_000,
	}),
	service: 'desk',
	priority: 2,
	objectHash: 1,
};
const serverCount = 100;
const slots = 4;

function createHeadroom(name: string, isLoadControlRequired = true) {
	const hostState = new HostState(
		createSettings({self: createHost({name}), isLoadControlRequired}),
	);
	const servers = Array.from({length: serverCount}, (_value, index) =>
		createServer({id: `server-${index}`, slots}),
	);
	hostState.serverTable.apply(
		{
			position: {era: 1, revision: 1},
			servers,
			evacuationsPosition: {era: 1, revision: 1},
			evacuated: [],
		},
		0,
		0,
	);
	const headroom = new PriorityHeadroom(hostState, new ProcessingTimes());
	return {
		hostState,
		headroom,
		/** Sends urgent requests at the given rate to this host. */
		sendUrgent(perSecond: number, from: number, to: number) {
			for (let at = from; at < to; at += 1000 / perSecond) {
				hostState.requestRate.onRequest(at);
				headroom.onArrived(urgent, at);
			}
		},
		listUsable: (now: number) =>
			[...hostState.serverTable.states.values()].map((state) =>
				headroom.getUsableSlots(lessUrgent, state, now),
			),
	};
}

describe('priority headroom', () => {
	it('is distributed over the same servers by all hosts', () => {
		const [first, second] = ['host-1', 'host-2'].map((name) => {
			const host = createHeadroom(name);
			host.sendUrgent(20, 0, 5000);
			return host;
		});
		const usable = first!.listUsable(5000);
		expect(second!.listUsable(5000)).toEqual(usable);
		const reserved = usable.reduce((sum, value) => sum + slots - value, 0);
		const fraction = first!.headroom.getReservedFraction('desk', 2, 5000);
		const expected = fraction * serverCount * slots;
		expect(Math.abs(reserved - expected)).toBeLessThanOrEqual(15);
	});

	it('shrinks within a few seconds when no urgent requests arrive', () => {
		const {sendUrgent, listUsable} = createHeadroom('host-1');
		sendUrgent(20, 0, 5000);
		expect(Math.min(...listUsable(5000))).toBeLessThan(slots);
		const reserved = listUsable(15_000).filter((usable) => usable < slots);
		expect(reserved.length).toBeLessThanOrEqual(serverCount / 20);
	});

	it('never exceeds half of the slots', () => {
		const {sendUrgent, listUsable} = createHeadroom('host-1');
		sendUrgent(10_000, 0, 3000);
		expect(Math.min(...listUsable(3000))).toEqual(slots / 2);
	});

	it('is not kept from the most urgent requests', () => {
		const {sendUrgent, headroom} = createHeadroom('host-1');
		sendUrgent(20, 0, 5000);
		expect(headroom.getReservedFraction('desk', 0, 5000)).toEqual(0);
	});

	it('covers requests at other hosts, and at this one alone if digests are lost', () => {
		const alone = createHeadroom('host-1');
		const inFleet = createHeadroom('host-1');
		for (const host of [alone, inFleet]) {
			host.sendUrgent(20, 0, 5000);
		}

		const digest = createDigest({requestsPerSecond: 60});
		inFleet.hostState.members.onDigest(digest, 4900);
		const getFraction = ({headroom}: typeof alone, now: number) =>
			headroom.getReservedFraction('desk', 2, now);
		expect(getFraction(inFleet, 5000)).toBeGreaterThan(
			getFraction(alone, 5000) * 1.5,
		);
		expect(getFraction(inFleet, 9000)).toEqual(getFraction(alone, 9000));
	});

	// A bound here would send look-ups to servers without their object, which multiplies their work.
	it('lets short work fill a server and queue there', () => {
		const {sendUrgent, hostState, headroom} = createHeadroom('host-1');
		sendUrgent(20, 0, 5000);
		const state = hostState.serverTable.states.get('server-1')!;
		state.onHandled(1);
		const short = {
			...lessUrgent,
			route: createRoute({name: 'look-up', latencyObjectiveMs: 300}),
		};
		const usable = headroom.getUsableSlots(short, state, 5000);
		expect(usable).toBeGreaterThan(slots);
		expect(usable).toBeLessThanOrEqual(slots * 2);
	});

	it('sets no bound on services without load control', () => {
		const {sendUrgent, listUsable} = createHeadroom('host-1', false);
		sendUrgent(20, 0, 5000);
		expect(Math.min(...listUsable(5000))).toEqual(Number.POSITIVE_INFINITY);
	});
});

const disturbances: ReadonlyArray<[string, Partial<HardLoadOptions>]> = [
	['undisturbed', {}],
	['with half of the digests lost', {lossRate: 0.5}],
	['with half of the hosts cut off from all others', {disturb: partitionHalf}],
];

// Without headroom, history views of seconds took the slots, and deposits were the worst served.
describe('a burst of history views and deposits on one pool', () => {
	for (const [name, disturbance] of disturbances) {
		for (const seed of [1, 2]) {
			it(`serves deposits no worse than history views, ${name} (seed ${seed})`, () => {
				const results = runHardLoad({
					seed,
					isLoadControlRequired: true,
					...disturbance,
				});
				const deposits = countResults(
					results,
					({route}) => route === 'deposit',
				);
				const views = countResults(results, ({route}) => route === 'history');
				const all = countResults(results, () => true);
				const computeServed = ({total, refused}: typeof all) =>
					1 - refused / total;
				expect(deposits.inTime / deposits.total).toBeGreaterThanOrEqual(
					views.inTime / views.total - 0.05,
				);
				expect(computeServed(deposits)).toBeGreaterThanOrEqual(
					computeServed(views) - 0.05,
				);
				expect(computeServed(views)).toBeGreaterThanOrEqual(
					computeServed(all) / 4,
				);
			});
		}
	}
});

// Slots kept free for deposits sent look-ups to servers without their object: 0.29 came in time instead of 0.99.
describe('deposits among look-ups on a pool with free slots', () => {
	it('leaves nine in ten look-ups and deposits in time', () => {
		const results = runHardLoad({
			seed: 1,
			isLoadControlRequired: true,
			serversPerRegion: [10, 3, 10],
			streams: seats,
		});
		for (const name of ['deposit', 'seat']) {
			const {inTime, total} = countResults(
				results,
				({route}) => route === name,
			);
			expect(inTime / total).toBeGreaterThanOrEqual(0.9);
		}
	});
});

// One customer at 6.5 times its usual rate took slots of the others, and so did callers that repeat immediately.
describe('a customer and callers that ask for more than their share', () => {
	const flood = runHardLoad({
		seed: 1,
		isLoadControlRequired: true,
		floodFactor: 6.5,
		impatientFraction: 0.05,
	});
	const isOther = ({customer, isImpatient}: CallerResult) =>
		customer !== floodingCustomer && !isImpatient;
	const computeServed = (
		predicate: (result: CallerResult) => boolean,
	): number => {
		const {total, refused} = countResults(flood, predicate);
		return 1 - refused / total;
	};

	it('are served less often than the others, who are served no worse than with first come, first served', () => {
		const isView = ({route}: CallerResult) => route === 'history';
		expect(
			computeServed((result) => isView(result) && isOther(result)),
		).toBeGreaterThan(
			computeServed(
				(result) => isView(result) && result.customer === floodingCustomer,
			) + 0.05,
		);
		const before = runHardLoad({
			seed: 1,
			isLoadControlRequired: false,
			floodFactor: 6.5,
			impatientFraction: 0.05,
		});
		const {inTime, total} = countResults(flood, isOther);
		const inTimeBefore = countResults(before, isOther).inTime;
		expect(inTime / total).toBeGreaterThanOrEqual(inTimeBefore / total - 0.05);
	});

	it('leave the others served as often as without them', () => {
		const calm = runHardLoad({seed: 1, isLoadControlRequired: true});
		for (const name of ['deposit', 'history']) {
			const served = computeServed(
				(result) => result.route === name && isOther(result),
			);
			const {total, refused} = countResults(
				calm,
				({route, customer}) => route === name && customer !== floodingCustomer,
			);
			expect(served).toBeGreaterThanOrEqual(1 - refused / total - 0.05);
		}
	});

	// Seed 5 with excess deposits as well: 0.66 instead of 0.75, since priority comes before fairness.
	for (const seed of [2, 5]) {
		it(`leave the others served as often in the same priority (seed ${seed})`, () => {
			const [calm, flooded] = [1, 6.5].map((floodFactor) => {
				const {total, refused} = countResults(
					runHardLoad({
						seed,
						isLoadControlRequired: true,
						floodFactor,
						floodedRoute: 'history',
					}),
					({route, customer}) =>
						route === 'history' && customer !== floodingCustomer,
				);
				return 1 - refused / total;
			});
			expect(flooded!).toBeGreaterThanOrEqual(calm! - 0.05);
		});
	}

	it('leave every other customer at least a quarter of the mean', () => {
		const customers = new Set(
			flood.filter((result) => isOther(result)).map(({customer}) => customer),
		);
		for (const name of customers) {
			expect(
				computeServed(
					(result) => result.customer === name && !result.isImpatient,
				),
			).toBeGreaterThanOrEqual(computeServed(() => true) / 4);
		}
	});
});

// Operators must see why less urgent requests are refused; a line per request would hide the change.
describe('the log of the headroom', () => {
	it('has one line when it begins and one when it ends', () => {
		const session = new KernelSession({isLoadControlRequired: true});
		const routes = [
			createRoute({isPublic: true}),
			createRoute({
				name: 'charge',
				pathPrefix: '/charge/',
				priority: 0,
				isPublic: true,
			}),
		];
		session.start([createServer({})], createConfiguration({routes}));
		const messages: string[] = [];
		for (let at = 0; at < 40_000; at += 500) {
			const path = at < 10_000 && at % 1000 === 0 ? '/charge/' : '/read/';
			const {id} = session.send({path});
			for (const effect of session.wait(500)) {
				if (effect.type === 'log' && effect.message.startsWith('headroom')) {
					messages.push(`${effect.message} ${effect.fields.priority}`);
				}
			}

			session.endAttempt(id, 1);
		}

		expect(messages).toEqual(['headroom begins 2', 'headroom ends 2']);
	});
});
