import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {CallerRecord} from '../src/caller.js';
import {findViolations, type RunHistory} from '../src/oracle.js';
import {createResponseBody} from '../src/server-stand-in.js';

function createRecord(values: Partial<CallerRecord>): CallerRecord {
	return {
		id: 'request-1',
		key: 'key-1',
		isSafe: false,
		daemon: 'front-0',
		sentAt: 20_000,
		isOnReusedConnection: false,
		endedAt: 20_050,
		status: 200,
		body: createResponseBody('request-1'),
		failure: undefined,
		...values,
	};
}

function createHistory(values: Partial<RunHistory>): RunHistory {
	return {
		records: [],
		executions: [],
		revokedAt: new Map(),
		drainStartedAt: new Map(),
		evacuations: [],
		statedLimits: [],
		evacuatedServers: new Set(),
		faults: [],
		allRestartedAt: [],
		end: 60_000,
		rateLimit: {customer: 'limited', perSecond: 20, burst: 20},
		...values,
	};
}

const execution = {
	requestId: 'request-1',
	server: 'i-1',
	customer: 'customer',
	at: 20_020,
};

function listBrokenGuarantees(values: Partial<RunHistory>): string[] {
	return findViolations(createHistory(values)).map(({guarantee}) => guarantee);
}

describe('soak oracle', () => {
	it('reports no violation for a run without faults', () => {
		expect(
			listBrokenGuarantees({
				records: [createRecord({})],
				executions: [execution],
			}),
		).toEqual([]);
	});

	it('detects a request that was executed twice', () => {
		expect(
			listBrokenGuarantees({
				records: [createRecord({})],
				executions: [execution, execution],
			}),
		).toEqual(['requests are executed at most as often as allowed']);
	});

	it('detects a request that was executed despite being rejected as not executed', () => {
		expect(
			listBrokenGuarantees({
				records: [createRecord({status: 503, body: ''})],
				executions: [execution],
			}),
		).toEqual(['requests rejected as not executed were not executed']);
	});

	it('detects a response that is truncated or belongs to another request', () => {
		for (const body of [createResponseBody('request-2'), 'half']) {
			expect(
				listBrokenGuarantees({
					records: [createRecord({body})],
					executions: [execution],
				}),
			).toEqual(['successful responses are complete and match their request']);
		}
	});

	it('detects a request executed with a revoked key', () => {
		const revokedAt = new Map([['key-1', 14_000]]);
		expect(
			listBrokenGuarantees({
				records: [createRecord({})],
				executions: [execution],
				revokedAt,
			}),
		).toEqual(['requests with a revoked key are not executed']);
	});

	it('detects that a request went on crashing servers, unless a fault was active nearby', () => {
		const times = [1, 2, 3, 10_000, 11_000, 12_000, 13_000];
		const history = {
			executions: times.map((time, index) => ({
				...execution,
				requestId: `deadly-${index}`,
				at: 20_000 + time,
			})),
		};
		const guarantee =
			'a request that has crashed three servers is kept from others';
		expect(listBrokenGuarantees(history)).toEqual([guarantee]);
		const faults = [{kind: 'daemon-pause', from: 25_000, to: 26_000}];
		expect(listBrokenGuarantees({...history, faults})).toEqual([]);
	});

	it('detects a request sent to a draining server, unless a fault was active nearby', () => {
		const history = {
			executions: [execution],
			drainStartedAt: new Map([['i-1', 17_000]]),
		};
		const guarantee = 'draining servers receive no new requests';
		expect(listBrokenGuarantees(history)).toEqual([guarantee]);
		const faults = [{kind: 'store', from: 16_000, to: 18_000}];
		expect(listBrokenGuarantees({...history, faults})).toEqual([]);
	});

	it('detects a request in an evacuated failure domain', () => {
		const history = {
			executions: [execution],
			evacuatedServers: new Set(['i-1']),
		};
		const from = execution.at - 5100;
		expect(
			listBrokenGuarantees({
				...history,
				evacuations: [{from, to: from + 7000}],
			}),
		).toEqual(['evacuated failure domains receive no requests']);
		expect(
			listBrokenGuarantees({
				...history,
				evacuations: [{from, to: from + 5050}],
			}),
		).toEqual([]);
	});

	it('detects a customer that exceeds its rate within a window', () => {
		const executions = Array.from({length: 153}, (_, index) => ({
			...execution,
			requestId: `request-${index}`,
			customer: 'limited',
			at: 20_000 + index * 30,
		}));
		expect(listBrokenGuarantees({executions})).toEqual([
			'customers stay within their rate limit',
		]);
		expect(listBrokenGuarantees({executions: executions.slice(1)})).toEqual([]);
	});

	it('detects a server that gets more requests than it states, unless the daemon was restarted', () => {
		const requests = Array.from({length: 19}, (_, index) => ({
			id: `request-${index}`,
			at: 20_000 + index * 200,
		}));
		const history = {
			records: requests.map(({id, at}) =>
				createRecord({
					id,
					sentAt: at,
					endedAt: at + 20,
					body: createResponseBody(id),
				}),
			),
			executions: requests.map(({id, at}) => ({
				...execution,
				requestId: id,
				at,
			})),
			statedLimits: [{server: 'i-1', perSecond: 1.5, from: 17_000, to: 25_000}],
		};
		expect(listBrokenGuarantees(history)).toEqual([
			'servers get no more requests than they state',
		]);
		const faults = [
			{kind: 'daemon-stop', target: 'front-0', from: 20_500, to: 23_000},
		];
		expect(listBrokenGuarantees({...history, faults})).toEqual([]);
		const others = [{...faults[0]!, target: 'front-1'}];
		expect(listBrokenGuarantees({...history, faults: others})).toEqual([
			'servers get no more requests than they state',
		]);
	});

	it('detects a request interrupted by a planned stop', () => {
		const records = [
			createRecord({status: undefined, body: '', failure: 'ECONNRESET'}),
		];
		const faults = [{kind: 'daemon-stop', from: 19_900, to: 22_000}];
		expect(listBrokenGuarantees({records, faults})).toEqual([
			'planned changes do not interrupt received requests',
		]);
	});

	it('detects that service does not recover after all daemons were killed', () => {
		expect(listBrokenGuarantees({allRestartedAt: [30_000]})).toEqual([
			'service recovers after all daemons are killed',
		]);
	});

	it('detects too few successful requests without faults', () => {
		const records = Array.from({length: 60}, (_, index) =>
			createRecord({id: `request-${index}`, status: 502, body: ''}),
		);
		expect(listBrokenGuarantees({records})).toEqual([
			'at least 90% of requests succeed without faults',
		]);
	});
});
