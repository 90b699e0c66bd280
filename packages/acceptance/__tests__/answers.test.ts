import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
	Caller,
	createFleet,
	schoolKey,
	startSample,
	type CallOutcome,
	type Sample,
} from '../src/index.js';

type Execution = {readonly idempotencyKey?: string};

const faultModes = [
	'cut',
	'crossed',
	'late',
	'extra',
	'false-length',
	'refuse',
	'no-echo',
	'hang',
	'double',
] as const;

/** Modes that affect only bytes after a complete response, which may succeed. */
const modesAfterResponse = new Set(['extra', 'double']);

const concurrentRequests = 12;
const rounds = 90;

describe('fleet with faulty backend servers', () => {
	const fleet = createFleet();
	const started = startSample(fleet, 3);
	let sample: Sample;
	let caller: Caller;

	before(async () => {
		sample = await started;
		caller = new Caller({
			key: schoolKey,
			getEntryHosts: () =>
				sample.hosts.map(({location, readyMessage}) => ({
					address: location.address,
					port: readyMessage.callers,
				})),
		});
	});

	after(async () => {
		await caller.close();
		await fleet.close();
	});

	async function setFault(mode: string): Promise<void> {
		for (const server of sample.servers) {
			await fleet.callServer(server, 'PUT', '/faults', {mode});
		}
	}

	async function countExecutions(): Promise<Map<string, number>> {
		const counts = new Map<string, number>();
		for (const server of sample.servers) {
			const list = await fleet.callServer(server, 'GET', '/executions');
			for (const {idempotencyKey = ''} of list as Execution[]) {
				counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
			}
		}

		return counts;
	}

	async function uploadMany(count: number): Promise<CallOutcome[]> {
		return Promise.all(
			Array.from({length: count}, async () => caller.upload(true, 2000)),
		);
	}

	/** Outcomes that break a guarantee: mismatched, duplicated, falsely refused or unexecuted. */
	async function listViolations(outcomes: CallOutcome[]): Promise<string[]> {
		const counts = await countExecutions();
		return outcomes.flatMap(({kind, idempotencyKey = '', detail}) => {
			const executionCount = counts.get(idempotencyKey) ?? 0;
			const isMismatched = kind === 'wrong';
			const isDuplicated = executionCount > 1;
			const isFalseRefusal = kind === 'refused-not-run' && executionCount > 0;
			const isUnexecuted = kind === 'whole' && executionCount === 0;
			return isMismatched || isDuplicated || isFalseRefusal || isUnexecuted
				? [`${kind}, ${executionCount} executions: ${detail}`]
				: [];
		});
	}

	it('delivers complete responses to the right callers in more than 1000 uploads', async () => {
		const outcomes: CallOutcome[] = [];
		for (let round = 0; round < rounds; round++) {
			outcomes.push(...(await uploadMany(concurrentRequests)));
		}

		expect(outcomes.length).toBeGreaterThan(1000);
		expect(await listViolations(outcomes)).toEqual([]);
		const completeOutcomes = outcomes.filter(({kind}) => kind === 'whole');
		expect(completeOutcomes.length).toBeGreaterThan(500);
	});

	for (const mode of faultModes) {
		it(`has no false success, duplicate execution or false refusal in fault mode ${mode}`, async () => {
			await setFault(mode);
			const outcomes = await uploadMany(concurrentRequests);
			await setFault('none');
			expect(await listViolations(outcomes)).toEqual([]);
			const completeOutcomes = outcomes.filter(({kind}) => kind === 'whole');
			const mayBeComplete = modesAfterResponse.has(mode);
			expect(mayBeComplete || completeOutcomes.length === 0).toEqual(true);
		});
	}

	it('refuses an upload when the server closes the connection after the body', async () => {
		await setFault('die-after-body');
		const outcomes = await uploadMany(4);
		expect(outcomes.filter(({kind}) => kind === 'whole')).toEqual([]);
		expect(
			outcomes.filter(
				({kind}) => kind === 'refused-not-run' || kind === 'refused',
			).length,
		).toEqual(outcomes.length);
	});
});
