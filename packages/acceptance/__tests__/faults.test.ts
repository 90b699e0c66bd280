import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'earl';
import {
	Caller,
	createFleet,
	schoolKey,
	startSample,
	type CallOutcome,
	type Fleet,
	type Host,
	type Sample,
} from '../src/index.js';

type Execution = {readonly idempotencyKey?: string};

describe('real processes under faults', () => {
	let fleet: Fleet;
	let sample: Sample;
	let hosts: Host[];
	let callers: Caller[];

	beforeEach(async () => {
		fleet = createFleet();
		sample = await startSample(fleet);
		hosts = [...sample.hosts];
		callers = Array.from({length: 4}, () => createCaller());
	});

	afterEach(async () => {
		await Promise.all(callers.map(async (caller) => caller.close()));
		await fleet.close();
	});

	function createCaller(): Caller {
		return new Caller({
			key: schoolKey,
			entries: () =>
				hosts.map(({place, line}) => ({
					address: place.address,
					port: line.callers,
				})),
		});
	}

	/** Each caller uploads again and again until told to end. */
	function startLoad(): () => Promise<CallOutcome[]> {
		const ending = new AbortController();
		const runs = callers.map(async (caller) => {
			const outcomes: CallOutcome[] = [];
			while (!ending.signal.aborted) {
				outcomes.push(await caller.upload(true));
				await wait(20);
			}

			return outcomes;
		});
		return async () => {
			ending.abort();
			const all = await Promise.all(runs);
			return all.flat();
		};
	}

	async function listExecutions(): Promise<Execution[]> {
		const lists = await Promise.all(
			sample.servers.map(async (server) =>
				fleet.callServer(server, 'GET', '/executions'),
			),
		);
		return lists.flatMap((list) => list as Execution[]);
	}

	/** Keys that ran more than once, and refusals "not run" that did run. */
	async function listBroken(outcomes: CallOutcome[]): Promise<string[]> {
		const counts = new Map<string, number>();
		for (const {idempotencyKey = ''} of await listExecutions()) {
			counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
		}

		const doubled = [...counts].filter(([, count]) => count > 1);
		const untrue = outcomes.filter(
			(outcome) =>
				outcome.kind === 'refused-not-run' &&
				counts.has(outcome.idempotencyKey ?? ''),
		);
		const lost = outcomes.filter(
			(outcome) =>
				outcome.kind === 'whole' && !counts.has(outcome.idempotencyKey ?? ''),
		);
		const wrong = outcomes.filter((outcome) => outcome.kind === 'wrong');
		return [
			...doubled.map(([key]) => `doubled ${key}`),
			...untrue.map(({detail}) => `refused as not run, but ran: ${detail}`),
			...lost.map(() => 'answered, but never ran'),
			...wrong.map(() => 'not the answer to this request'),
		];
	}

	it('replaces every entry host in turn under load and cuts, doubles and refuses nothing', async () => {
		const endLoad = startLoad();
		for (const old of sample.hosts) {
			const name = `${old.place.name}-next`;
			const next = await fleet.startHost({...old.place, name});
			await fleet.waitUntilReady(next);
			hosts.push(next);
			await fleet.listHost(old, true);
			expect(await old.stop()).toEqual(0);
			hosts = hosts.filter((host) => host !== old);
			await fleet.unlistHost(old);
		}

		const outcomes = await endLoad();
		expect(
			outcomes
				.filter(({kind}) => kind !== 'whole')
				.map(({kind, detail}) => `${kind}: ${detail}`),
		).toEqual([]);
		expect(outcomes.length).toBeGreaterThan(20);
		expect(await listBroken(outcomes)).toEqual([]);
	});

	it('doubles nothing and says no untrue "not run" when an entry host is killed', async () => {
		const endLoad = startLoad();
		await wait(500);
		await hosts[0]!.kill();
		await wait(4000);
		const outcomes = await endLoad();
		expect(await listBroken(outcomes)).toEqual([]);
		const last = outcomes.slice(-8);
		expect(last.some(({kind}) => kind === 'whole')).toEqual(true);
	});

	it('doubles nothing when an entry host is frozen past its leases and woken', async () => {
		const endLoad = startLoad();
		await wait(500);
		hosts[0]!.signal('SIGSTOP');
		await wait(5000);
		hosts[0]!.signal('SIGCONT');
		await wait(1500);
		const outcomes = await endLoad();
		expect(await listBroken(outcomes)).toEqual([]);
	});

	it('accepts a withdrawn key nowhere once the withdrawal is acknowledged', async () => {
		const endLoad = startLoad();
		await wait(300);
		const answer = await fleet.callHost(
			hosts[0]!,
			'POST',
			'/keys/school-1/withdraw?operation=withdraw-1',
		);
		const before = await listExecutions();
		const outcomes = await endLoad();
		expect(Object.keys(answer as object)).toEqual(['version']);
		const late = await Promise.all(
			callers.map(async (caller) => caller.upload(true)),
		);
		expect(late.map(({kind}) => kind)).toEqual(
			late.map(() => 'refused-not-run'),
		);
		expect(await listExecutions()).toHaveLength(before.length);
		expect(await listBroken([...outcomes, ...late])).toEqual([]);
	});

	it('goes on serving idempotent requests while the store is down', async () => {
		await fleet.callStore('PUT', '/faults', {mode: 'down'});
		await wait(3000);
		const refusals = await Promise.all(
			hosts.map(async (host) => {
				const answer = await fetch(fleet.toUrl(host, '/entries/yu'), {
					headers: {authorization: `Bearer ${schoolKey}`},
				});
				const {status} = answer;
				const text = await answer.text();
				return status === 200 ? '' : text;
			}),
		);
		expect(refusals).toEqual(['', '']);
	});
});
