import {describe, it} from 'node:test';
import type {Milliseconds} from '@parsleyvale/shared';
import {expect} from 'earl';
import type {LiveRequest} from '../src/admission/live-request.js';
import {ProcessingTimes} from '../src/placement/processing-times.js';
import {DispatchPass} from '../src/queueing/dispatch-pass.js';
import {FairOrder} from '../src/queueing/fair-order.js';
import {RequestQueue} from '../src/queueing/request-queue.js';
import {RetryDelays} from '../src/queueing/retry-delays.js';
import {SlotTimes} from '../src/queueing/slot-times.js';
import {createCustomer, createRoute} from './support/configuration.js';
import {createRandom} from './support/random.js';

const processingTimes = new ProcessingTimes();

function createRequest(
	customer: string,
	values: Partial<LiveRequest> = {},
): LiveRequest {
	return {
		identity: '1',
		arrival: {
			type: 'request-arrived',
			requestId: customer,
			callerId: undefined,
			hostName: 'example',
			path: '/read/',
			keyHash: undefined,
			affinity: undefined,
			bodyBytes: 0,
			isBodyBuffered: true,
			fingerprint: '1',
			arrivedAt: 0,
			timeLeft: undefined,
		},
		route: createRoute({}),
		customer: createCustomer({name: customer}),
		service: 'desk',
		homeRegions: [],
		objectHash: 1,
		objectiveDeadline: 600,
		deadline: 3000,
		priority: 1,
		triedServers: new Set(),
		possibleRuns: 0,
		attempt: 0,
		isAnswerStarted: false,
		placement: undefined,
		waitingSince: 0,
		cachedAt: undefined,
		...values,
	};
}

function createQueue() {
	const order = new FairOrder(new SlotTimes(processingTimes));
	const queue = new RequestQueue(order);
	return {
		order,
		queue,
		add(request: LiveRequest) {
			order.onArrived(request, {isContended: true, now: 0});
			queue.add(request);
			return request;
		},
	};
}

describe('the order of waiting requests', () => {
	it('gives customers turns, however many requests one of them has waiting', () => {
		const {queue, add} = createQueue();
		for (let count = 0; count < 20; count++) {
			add(createRequest('flooding'));
		}

		add(createRequest('other'));
		const position = queue
			.list('desk')
			.findIndex(({customer}) => customer?.name === 'other');
		expect(position).toBeLessThanOrEqual(2);
	});

	it('puts urgent requests first, and short ones before long ones of the same turn', () => {
		const {queue, add} = createQueue();
		const long = createRoute({name: 'long', latencyObjectiveMs: 1100});
		add(createRequest('first', {route: long}));
		add(createRequest('second'));
		add(createRequest('third', {priority: 0, route: long}));
		expect(queue.list('desk').map(({customer}) => customer?.name)).toEqual([
			'third',
			'second',
			'first',
		]);
	});

	it('charges no turn to a customer whose requests are refused', () => {
		const {order, queue, add} = createQueue();
		for (let count = 0; count < 20; count++) {
			const refused = add(createRequest('refused'));
			queue.remove(refused);
			order.onEnded(refused);
		}

		expect(order.isAheadOfTurn(add(createRequest('refused')))).toEqual(false);
	});
});

// Each end of an attempt retried all waiting requests: hundreds of choices among a dozen servers.
describe('a pass over hundreds of waiting requests without a free server', () => {
	for (const [name, cachedAt] of [
		['for capacity', undefined],
		['for a cached object', 0],
	] as const) {
		it(`tries a bounded number of those that wait ${name}`, () => {
			const {order, queue, add} = createQueue();
			for (let count = 0; count < 300; count++) {
				add(createRequest(`customer-${count}`, {cachedAt}));
			}

			const pass = new DispatchPass({order, freed: undefined, now: 100});
			let tries = 0;
			for (const request of queue.list('desk')) {
				if (pass.shouldTry(request)) {
					tries += 1;
					pass.onFailed(request);
				}
			}

			expect(tries).toBeLessThanOrEqual(40);
		});
	}
});

describe('the delay after which refused callers return', () => {
	/** Computes the delays of requests that are refused together at 1000, whose callers leave at the given time. */
	function computeDelays(
		count: number,
		callersLeaveAt: Milliseconds,
		values: Partial<LiveRequest> = {},
	) {
		const {queue, add} = createQueue();
		for (let index = 0; index < 20; index++) {
			queue.onCompleted('desk', index * 50);
		}

		for (let index = 0; index < 10; index++) {
			add(createRequest(`waiting-${index}`));
		}

		const delays = new RetryDelays(processingTimes, queue, createRandom(1));
		const {arrival, ...request} = createRequest('refused', values);
		const refused = {
			...request,
			arrival: {...arrival, arrivedAt: 0, timeLeft: callersLeaveAt},
		};
		return Array.from({length: count}, () =>
			delays.compute(refused, 1000),
		).sort((a, b) => a - b);
	}

	it('is within the third of the time left that callers honour', () => {
		for (const deadline of [1001, 1300, 4000, 21_000]) {
			const longest = computeDelays(100, deadline).at(-1)!;
			expect(longest).toBeLessThanOrEqual((deadline - 1000) / 3);
		}
	});

	it('leaves the time to be served', () => {
		const {warm} = processingTimes.get(createRoute({}));
		const longest = computeDelays(100, 1000 + warm + 80).at(-1)!;
		expect(longest).toBeLessThanOrEqual(80);
	});

	it('is the longest useful one if the request cannot be served in time', () => {
		expect(computeDelays(1, 1090)[0]!).toBeGreaterThanOrEqual(15);
	});

	// Callers of a route with a short timeout returned while the backlog was still there.
	it('may be longer than the rest of the route\u2019s timeout', () => {
		const longest = computeDelays(100, 13_000, {deadline: 1200}).at(-1)!;
		expect(longest).toBeGreaterThan(200);
	});

	it('spreads the callers over the time that the backlog takes', () => {
		const delays = computeDelays(20, 13_000);
		expect(delays.at(-1)! - delays[0]!).toBeGreaterThanOrEqual(500);
	});

	it('lets the urgent return first', () => {
		const urgent = computeDelays(5, 13_000, {priority: 0});
		const others = computeDelays(5, 13_000);
		expect(urgent.at(-1)!).toBeLessThan(others.at(-1)!);
		expect(urgent[0]!).toBeLessThan(others[0]!);
	});
});
