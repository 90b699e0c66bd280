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

describe('fleet under faults', () => {
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
			getEntryHosts: () =>
				hosts.map(({location, readyMessage}) => ({
					address: location.address,
					port: readyMessage.callers,
				})),
		});
	}

	/** Lets each caller upload in a loop; the returned function stops it. */
	function startLoad(): () => Promise<CallOutcome[]> {
		const abort = new AbortController();
		const loops = callers.map(async (caller) => {
			const outcomes: CallOutcome[] = [];
			while (!abort.signal.aborted) {
				outcomes.push(await caller.upload(true));
				await wait(20);
			}

			return outcomes;
		});
		return async () => {
			abort.abort();
			const outcomeLists = await Promise.all(loops);
			return outcomeLists.flat();
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

	/** Duplicate executions, false "not run" refusals, unexecuted successes and mismatched responses. */
	async function listViolations(outcomes: CallOutcome[]): Promise<string[]> {
		const counts = new Map<string, number>();
		for (const {idempotencyKey = ''} of await listExecutions()) {
			counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
		}

		const duplicated = [...counts].filter(([, count]) => count > 1);
		const falseRefusals = outcomes.filter(
			(outcome) =>
				outcome.kind === 'refused-not-run' &&
				counts.has(outcome.idempotencyKey ?? ''),
		);
		const unexecuted = outcomes.filter(
			(outcome) =>
				outcome.kind === 'whole' && !counts.has(outcome.idempotencyKey ?? ''),
		);
		const mismatched = outcomes.filter((outcome) => outcome.kind === 'wrong');
		return [
			...duplicated.map(([key]) => `executed more than once: ${key}`),
			...falseRefusals.map(
				({detail}) => `refused as not executed, but executed: ${detail}`,
			),
			...unexecuted.map(() => 'successful response without an execution'),
			...mismatched.map(() => 'response to another request'),
		];
	}

	it('replaces every entry host in turn under load without truncated, duplicate or refused requests', async () => {
		const stopLoad = startLoad();
		for (const oldHost of sample.hosts) {
			const name = `${oldHost.location.name}-next`;
			const newHost = await fleet.startHost({...oldHost.location, name});
			await fleet.waitUntilReady(newHost);
			hosts.push(newHost);
			await fleet.listHost(oldHost, true);
			expect(await oldHost.stop()).toEqual(0);
			hosts = hosts.filter((host) => host !== oldHost);
			await fleet.unlistHost(oldHost);
		}

		const outcomes = await stopLoad();
		expect(
			outcomes
				.filter(({kind}) => kind !== 'whole')
				.map(({kind, detail}) => `${kind}: ${detail}`),
		).toEqual([]);
		expect(outcomes.length).toBeGreaterThan(20);
		expect(await listViolations(outcomes)).toEqual([]);
	});

	it('has no duplicate execution and no false "not run" refusal when an entry host is killed', async () => {
		const stopLoad = startLoad();
		await wait(500);
		await hosts[0]!.kill();
		await wait(4000);
		const outcomes = await stopLoad();
		expect(await listViolations(outcomes)).toEqual([]);
		const lastOutcomes = outcomes.slice(-8);
		expect(lastOutcomes.some(({kind}) => kind === 'whole')).toEqual(true);
	});

	it('has no duplicate execution when an entry host is suspended past its leases and resumed', async () => {
		const stopLoad = startLoad();
		await wait(500);
		hosts[0]!.signal('SIGSTOP');
		await wait(5000);
		hosts[0]!.signal('SIGCONT');
		await wait(1500);
		const outcomes = await stopLoad();
		expect(await listViolations(outcomes)).toEqual([]);
	});

	it('rejects a withdrawn key on every host once the withdrawal is acknowledged', async () => {
		const stopLoad = startLoad();
		await wait(300);
		const response = await fleet.callHost(
			hosts[0]!,
			'POST',
			'/keys/school-1/withdraw?operation=withdraw-1',
		);
		const executionsBefore = await listExecutions();
		const outcomes = await stopLoad();
		expect(Object.keys(response as object)).toEqual(['version']);
		const outcomesAfterWithdrawal = await Promise.all(
			callers.map(async (caller) => caller.upload(true)),
		);
		expect(outcomesAfterWithdrawal.map(({kind}) => kind)).toEqual(
			outcomesAfterWithdrawal.map(() => 'refused-not-run'),
		);
		expect(await listExecutions()).toHaveLength(executionsBefore.length);
		expect(
			await listViolations([...outcomes, ...outcomesAfterWithdrawal]),
		).toEqual([]);
	});

	it('keeps serving idempotent requests while the store is down', async () => {
		await fleet.callStore('PUT', '/faults', {mode: 'down'});
		await wait(3000);
		const refusals = await Promise.all(
			hosts.map(async (host) => {
				const response = await fetch(fleet.toUrl(host, '/entries/yu'), {
					headers: {authorization: `Bearer ${schoolKey}`},
				});
				const {status} = response;
				const text = await response.text();
				return status === 200 ? '' : text;
			}),
		);
		expect(refusals).toEqual(['', '']);
	});
});
