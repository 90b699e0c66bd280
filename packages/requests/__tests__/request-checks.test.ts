import {describe, it} from 'node:test';
import {ErrorKind, configurationSchema} from '@parsleyvale/shared';
import {expect} from 'earl';
import {CustomerTable} from '../src/customer-table.js';
import {maximumCustomerLabels, shareTimeout} from '../src/limits.js';
import {RequestMetrics} from '../src/request-metrics.js';
import {RouteTable} from '../src/route-table.js';
import {SessionRecorder} from './session-recorder.js';

const many = 2 * maximumCustomerLabels;
const configuration = configurationSchema.parse({
	customers: Array.from({length: many}, (_value, index) => ({
		name: `customer-${index}`,
		ratePerSecond: 2,
		burst: 2,
	})),
	routes: [
		{name: 'all', pathPrefix: '/'},
		{name: 'entries', pathPrefix: '/entries'},
		{name: 'sounds', pathPrefix: '/entries/sounds/'},
	].map((route) => ({
		...route,
		methods: ['GET'],
		pool: 'desk',
		idempotent: true,
		deadlineMs: 1000,
	})),
});

const paths: ReadonlyArray<readonly [string, string | undefined]> = [
	['/', 'all'],
	['/entries', 'entries'],
	['/entries/', 'entries'],
	['/entries/tea', 'entries'],
	['/entries/sounds', 'entries'],
	['/entries/sounds/tea', 'sounds'],
	['/entrieshidden', 'all'],
	['/Entries', 'all'],
	['/entries/tea..', 'entries'],
	['/entries/...', 'entries'],
	['/entries/../sales', undefined],
	['/entries/..', undefined],
	['/entries/./sales', undefined],
	['/entries/%2e%2E/sales', undefined],
	['/entries/.%2e/sales', undefined],
	['/entries%2f..%2fsales', undefined],
	[String.raw`/entries\..\sales`, undefined],
	['/entries/..%5Csales', undefined],
];

describe('arrival checks', () => {
	it('match the longest prefix at a segment boundary and no dot segments', () => {
		const routes = new RouteTable(configuration);
		for (const [path, name] of paths) {
			expect([path, routes.findLongestMatch(path)?.name]).toEqual([path, name]);
		}
	});

	it('refuse requests before the first configuration', () => {
		const session = new SessionRecorder();
		const [refusal] = session.arrive(0, 'r1', {path: '/entries'});
		expect(refusal).toEqual({
			type: 'refuse',
			requestId: 'r1',
			kind: ErrorKind.NotConfigured,
			retryAfter: undefined,
		});
	});

	it('identify no customer on a public route, whatever the key', () => {
		const session = new SessionRecorder();
		session.configure(0);
		const [forward] = session.arrive(1, 'r1', {path: '/reports'});
		expect(forward?.type === 'forward' && forward.customer).toEqual(undefined);
	});
});

describe('waiting for a share of the rate', () => {
	const budgetId = 'customer/lesson';

	it('requests a loan of one token per request and admits in order of arrival', () => {
		const session = new SessionRecorder();
		session.configure(0);
		session.budgets.tokens.set(budgetId, 0);
		for (const requestId of ['r1', 'r2', 'r3']) {
			session.arrive(1, requestId, {path: '/entries'});
		}

		expect(session.budgets.requestedLoans.get(budgetId)).toEqual(3);
		session.budgets.tokens.set(budgetId, 2);
		const effects = session.handle(5, {type: 'budget-changed', budgetId});
		const sent = effects.map(
			(effect) => effect.type === 'forward' && effect.requestId,
		);
		expect(sent).toEqual(['r1', 'r2']);
	});

	it('times out on the next arrival after the deadline', () => {
		const session = new SessionRecorder();
		session.configure(0);
		session.budgets.tokens.set(budgetId, 0);
		session.arrive(1, 'r1', {path: '/entries'});
		const [refusal] = session.arrive(1 + shareTimeout, 'r2', {
			path: '/reports',
		});
		expect(refusal).toEqual({
			type: 'refuse',
			requestId: 'r1',
			kind: ErrorKind.ShareUnavailable,
			retryAfter: undefined,
		});
	});
});

describe('customer tables', () => {
	it('assign labels to a limited number of customers', () => {
		const metrics = new RequestMetrics();
		metrics.applyConfiguration(configuration);
		const labels = new Set<string>();
		for (const {name} of configuration.customers) {
			metrics.observe(
				{route: undefined, customer: name, arrivedAt: 0},
				undefined,
				{
					now: 0,
					emit(effect) {
						labels.add('labels' in effect ? effect.labels.customer! : '');
					},
					raise: () => undefined,
				},
			);
		}

		expect(labels.size).toEqual(maximumCustomerLabels + 1);
		expect(labels.has('other')).toEqual(true);
	});

	it('report a reached rate only when this host took all of it', () => {
		const customers = new CustomerTable();
		customers.applyConfiguration(configuration);
		customers.countToken('customer-1', 0);
		expect(customers.hasReachedRate('customer-1', 500)).toEqual(false);
		customers.countToken('customer-1', 500);
		expect(customers.hasReachedRate('customer-1', 600)).toEqual(true);
		expect(customers.hasReachedRate('customer-1', 1500)).toEqual(true);
		expect(customers.hasReachedRate('customer-1', 3500)).toEqual(false);
	});
});
