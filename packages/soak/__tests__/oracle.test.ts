import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {CallerRecord} from '../src/caller.js';
import {judge, type Evidence} from '../src/oracle.js';
import {toAnswerBody} from '../src/server-stand-in.js';

function createRecord(values: Partial<CallerRecord>): CallerRecord {
	return {
		id: 'request-1',
		key: 'key-1',
		isSafe: false,
		daemon: 'front-0',
		sentAt: 20_000,
		isOnKept: false,
		endedAt: 20_050,
		status: 200,
		body: toAnswerBody('request-1'),
		problem: undefined,
		...values,
	};
}

function createEvidence(values: Partial<Evidence>): Evidence {
	return {
		records: [],
		executions: [],
		revokedAt: new Map(),
		leftAt: new Map(),
		evacuations: [],
		evacuatedServers: new Set(),
		faults: [],
		allBackAt: [],
		end: 60_000,
		limit: {customer: 'limited', perSecond: 20, burst: 20},
		...values,
	};
}

const execution = {
	requestId: 'request-1',
	server: 'i-1',
	customer: 'customer',
	at: 20_020,
};

function listBroken(values: Partial<Evidence>): string[] {
	return judge(createEvidence(values)).map(({promise}) => promise);
}

describe('the oracle of the soak', () => {
	it('finds nothing in a sound run', () => {
		expect(
			listBroken({records: [createRecord({})], executions: [execution]}),
		).toEqual([]);
	});

	it('sees a request that ran twice', () => {
		expect(
			listBroken({
				records: [createRecord({})],
				executions: [execution, execution],
			}),
		).toEqual(['runs at most as often as it may']);
	});

	it('sees a refusal that is not true', () => {
		expect(
			listBroken({
				records: [createRecord({status: 503, body: ''})],
				executions: [execution],
			}),
		).toEqual(['said not to have run has not run']);
	});

	it('sees an answer that is cut or of another request', () => {
		for (const body of [toAnswerBody('request-2'), 'half']) {
			expect(
				listBroken({records: [createRecord({body})], executions: [execution]}),
			).toEqual(['answered with the whole answer of its own']);
		}
	});

	it('sees a withdrawn key that still runs requests', () => {
		const revokedAt = new Map([['key-1', 14_000]]);
		expect(
			listBroken({
				records: [createRecord({})],
				executions: [execution],
				revokedAt,
			}),
		).toEqual(['a withdrawn key runs nothing']);
	});

	it('sees a request at a server that has left, unless a fault lay near', () => {
		const evidence = {
			executions: [execution],
			leftAt: new Map([['i-1', 17_000]]),
		};
		const promise = 'a server that leaves gets nothing more';
		expect(listBroken(evidence)).toEqual([promise]);
		const faults = [{kind: 'store', from: 16_000, to: 18_000}];
		expect(listBroken({...evidence, faults})).toEqual([]);
	});

	it('sees a request in an evacuated failure domain', () => {
		const evidence = {
			executions: [execution],
			evacuatedServers: new Set(['i-1']),
		};
		const from = execution.at - 5100;
		expect(
			listBroken({...evidence, evacuations: [{from, to: from + 7000}]}),
		).toEqual(['an evacuated failure domain gets nothing']);
		expect(
			listBroken({...evidence, evacuations: [{from, to: from + 5050}]}),
		).toEqual([]);
	});

	it('sees a customer beyond its rate in a window', () => {
		const executions = Array.from({length: 153}, (_, index) => ({
			...execution,
			requestId: `request-${index}`,
			customer: 'limited',
			at: 20_000 + index * 30,
		}));
		expect(listBroken({executions})).toEqual([
			'a customer stays within its rate',
		]);
		expect(listBroken({executions: executions.slice(1)})).toEqual([]);
	});

	it('sees a request that a planned stop cut', () => {
		const records = [
			createRecord({status: undefined, body: '', problem: 'ECONNRESET'}),
		];
		const faults = [{kind: 'daemon-stop', from: 19_900, to: 22_000}];
		expect(listBroken({records, faults})).toEqual([
			'nothing that was read is cut by planned work',
		]);
	});

	it('sees that nothing is served after all were killed', () => {
		expect(listBroken({allBackAt: [30_000]})).toEqual([
			'serves again after all were killed',
		]);
	});

	it('sees that too few are served without faults', () => {
		const records = Array.from({length: 60}, (_, index) =>
			createRecord({id: `request-${index}`, status: 502, body: ''}),
		);
		expect(listBroken({records})).toEqual([
			'serves nine in ten without faults',
		]);
	});
});
