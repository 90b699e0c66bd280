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

/** What follows a whole answer does not spoil it. */
const modesAfterTheAnswer = new Set(['extra', 'double']);

const requestsAtOnce = 12;
const rounds = 90;

describe('answers of backend servers', () => {
	const fleet = createFleet();
	const started = startSample(fleet, 3);
	let sample: Sample;
	let caller: Caller;

	before(async () => {
		sample = await started;
		caller = new Caller({
			key: schoolKey,
			entries: () =>
				sample.hosts.map(({place, line}) => ({
					address: place.address,
					port: line.callers,
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

	async function countRuns(): Promise<Map<string, number>> {
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

	/** What breaks a promise among these outcomes. */
	async function listBroken(outcomes: CallOutcome[]): Promise<string[]> {
		const counts = await countRuns();
		return outcomes.flatMap(({kind, idempotencyKey = '', detail}) => {
			const runs = counts.get(idempotencyKey) ?? 0;
			const isWrong = kind === 'wrong';
			const isDoubled = runs > 1;
			const isUntrue = kind === 'refused-not-run' && runs > 0;
			const isLost = kind === 'whole' && runs === 0;
			return isWrong || isDoubled || isUntrue || isLost
				? [`${kind}, ${runs} runs: ${detail}`]
				: [];
		});
	}

	it('reach their own callers whole, a thousand uploads in all', async () => {
		const outcomes: CallOutcome[] = [];
		for (let round = 0; round < rounds; round++) {
			outcomes.push(...(await uploadMany(requestsAtOnce)));
		}

		expect(outcomes.length).toBeGreaterThan(1000);
		expect(await listBroken(outcomes)).toEqual([]);
		const whole = outcomes.filter(({kind}) => kind === 'whole');
		expect(whole.length).toBeGreaterThan(500);
	});

	for (const mode of faultModes) {
		it(`never pass as whole, double or belie a refusal in fault mode ${mode}`, async () => {
			await setFault(mode);
			const outcomes = await uploadMany(requestsAtOnce);
			await setFault('none');
			expect(await listBroken(outcomes)).toEqual([]);
			const whole = outcomes.filter(({kind}) => kind === 'whole');
			const isWholeAllowed = modesAfterTheAnswer.has(mode);
			expect(isWholeAllowed || whole.length === 0).toEqual(true);
		});
	}

	it('of a server that dies after the body are told as unknown, and run once', async () => {
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
