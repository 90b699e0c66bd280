import {createHash} from 'node:crypto';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {configurationSchema, type Configuration} from '@parsleyvale/shared';
import {expect} from 'earl';
import {
	createTemporaryFolder,
	runAgainstHosts,
	runCommandLine,
	type TemporaryFolder,
	type RunResult,
} from './run-ctl.js';
import {FakeAdministration} from './fake-administration.js';

const hanlin = {name: 'hanlin', ratePerSecond: 10, burst: 20, weight: 1};
const schools = {name: 'schools', ratePerSecond: 5, burst: 5, weight: 1};
const key = {
	name: 'k',
	customer: 'hanlin',
	hash: 'a'.repeat(64),
	withdrawn: false,
};
const createRegion = (name: string) => ({name, failureDomains: ['a', 'b']});

function addCustomer(
	configuration: Configuration,
	customer: Configuration['customers'][number],
): Configuration {
	const customers = [...configuration.customers, customer];
	return {...configuration, customers};
}

describe('parsleyvalectl', () => {
	let host: FakeAdministration;
	let folder: TemporaryFolder;

	beforeEach(async () => {
		host = new FakeAdministration();
		folder = await createTemporaryFolder();
		await host.start();
	});

	afterEach(async () => {
		await host.close();
		await folder.close();
	});

	async function run(...args: string[]): Promise<RunResult> {
		return runAgainstHosts([host], folder, ...args);
	}

	async function getExitCode(pendingRun: Promise<RunResult>): Promise<number> {
		const {code} = await pendingRun;
		return code;
	}

	function setConfiguration(value: unknown): void {
		const configuration = configurationSchema.parse(value);
		host.current = {...host.current, configuration};
	}

	async function setHanlin(): Promise<RunResult> {
		return run('customer', 'set', 'hanlin', '--rate', '10', '--burst', '20');
	}

	it('lists the exit codes in the help text', async () => {
		const {code, lines} = await runCommandLine('--help');
		expect(code).toEqual(0);
		expect(lines.join('\n')).toInclude('3  another operator changed the same');
	});

	it('reports the file and field of invalid values', async () => {
		await folder.write('10.json', {customers: [{...hanlin, burst: -1}]});
		const {code, errors} = await runCommandLine('validate', folder.path);
		expect(code).toEqual(2);
		expect(errors).toHaveLength(1);
		expect(errors[0]!).toInclude('10.json: customers.0.burst: ');
		const empty = await runCommandLine('validate', `${folder.path}/none`);
		expect(empty.code).toEqual(2);
	});

	it('applies a folder once and shows the differences', async () => {
		await folder.write('20.json', {customers: [hanlin]});
		const first = await run('apply', folder.path);
		expect(first.lines).toEqual([
			'+ customers/hanlin',
			'Accepted as version 2',
		]);
		expect(host.current.configuration.customers).toEqual([hanlin]);
		const second = await run('apply', folder.path, '--json');
		expect(second.code).toEqual(0);
		expect(JSON.parse(second.lines[0]!)).toEqual({
			version: 2,
			changed: false,
			differences: [],
		});
		expect(host.acceptedOperationIds).toHaveLength(1);
	});

	it('keeps keys withdrawn and drains stopped by commands when it applies a folder', async () => {
		const drain = {name: 'region.tpe', target: {kind: 'region', name: 'tpe'}};
		setConfiguration({
			regions: [createRegion('tpe')],
			customers: [hanlin],
			keys: [{...key, withdrawn: true}],
			drains: [{...drain, state: 'stopped'}],
		});
		await folder.write('10.json', {
			regions: [createRegion('tpe'), createRegion('sin')],
			customers: [hanlin],
			keys: [key],
			drains: [drain],
		});
		const {lines} = await run('apply', folder.path);
		expect(lines).toEqual(['+ regions/sin', 'Accepted as version 2']);
		expect(host.current.configuration.keys[0]?.withdrawn).toEqual(true);
		expect(host.current.configuration.drains[0]?.state).toEqual('stopped');
	});

	it('does not remove a customer with keys that are not withdrawn', async () => {
		setConfiguration({customers: [hanlin], keys: [key]});
		await folder.write('10.json', {customers: [schools]});
		expect(await getExitCode(run('apply', folder.path))).toEqual(2);
		expect(await getExitCode(run('customer', 'remove', 'hanlin'))).toEqual(8);
		setConfiguration({customers: [hanlin], keys: [{...key, withdrawn: true}]});
		expect(await getExitCode(run('customer', 'remove', 'hanlin'))).toEqual(0);
		expect(host.current.configuration.keys).toEqual([]);
	});

	it('reports both versions on a conflict with another operator', async () => {
		await folder.write('10.json', {customers: [hanlin]});
		host.faults.push('race');
		const {code, errors} = await run('apply', folder.path);
		expect(code).toEqual(3);
		expect(errors[0]!).toInclude('for version 1,');
		expect(errors[0]!).toInclude('made version 2.');
		expect(host.acceptedOperationIds).toEqual([]);
	});

	it('reapplies a change after a concurrent change of another object', async () => {
		host.racingChange = (configuration) => addCustomer(configuration, schools);
		host.faults.push('race');
		expect(await getExitCode(setHanlin())).toEqual(0);
		expect(host.current.configuration.customers).toEqual([schools, hanlin]);
	});

	it('does not overwrite a concurrent change of the same object', async () => {
		const racingHanlin = {...hanlin, burst: 99};
		host.racingChange = (configuration) =>
			addCustomer(configuration, racingHanlin);
		host.faults.push('race');
		expect(await getExitCode(setHanlin())).toEqual(3);
		expect(host.current.configuration.customers).toEqual([racingHanlin]);
	});

	it('recognizes a change whose response was lost by its operation id', async () => {
		host.faults.push('lose-after');
		const {code, lines} = await setHanlin();
		expect(code).toEqual(0);
		expect(lines).toEqual(['Customer hanlin: accepted as version 2']);
		expect(host.receivedOperationIds).toHaveLength(1);
	});

	it('resends a lost change with the same operation id', async () => {
		host.faults.push('lose-before');
		expect(await getExitCode(setHanlin())).toEqual(0);
		expect(host.receivedOperationIds).toHaveLength(2);
		expect(new Set(host.receivedOperationIds).size).toEqual(1);
	});

	it('reports an unknown outcome if a later version hides whether the change was made', async () => {
		host.faults.push('hide');
		expect(await getExitCode(setHanlin())).toEqual(5);
		expect(host.acceptedOperationIds).toHaveLength(1);
	});

	it('reports an unknown outcome if entry hosts do not respond in time', async () => {
		host.faults.push('silent', 'silent', 'silent');
		const args = ['--rate', '10', '--burst', '20', '--timeout', '1'];
		expect(await getExitCode(run('customer', 'set', 'x', ...args))).toEqual(5);
	});

	it('makes a change at most once and reports its outcome for any fault sequence', async () => {
		const faults = [
			'none',
			'lose-before',
			'lose-after',
			'race',
			'hide',
		] as const;
		const scripts = faults.flatMap((first) =>
			faults.flatMap((second) => faults.map((third) => [first, second, third])),
		);
		await Promise.all(
			scripts.map(async (script) => {
				const fakeHost = new FakeAdministration();
				await fakeHost.start();
				fakeHost.faults.push(...script);
				fakeHost.racingChange = (configuration) =>
					addCustomer(configuration, schools);
				const args = [
					'customer',
					'set',
					'hanlin',
					'--rate',
					'1',
					'--burst',
					'1',
				];
				const {code} = await runAgainstHosts([fakeHost], folder, ...args);
				await fakeHost.close();
				expect(fakeHost.acceptedOperationIds.length <= 1).toEqual(true);
				if (code !== 5) {
					expect(fakeHost.acceptedOperationIds.length).toEqual(
						code === 0 ? 1 : 0,
					);
				}
			}),
		);
	});

	it('shows a key once and sends only its hash', async () => {
		setConfiguration({customers: [hanlin]});
		const args = ['key', 'create', 'k', '--customer', 'hanlin'];
		const {lines} = await run(...args);
		const secret = lines.at(-1)!;
		const hash = createHash('sha256').update(secret).digest('hex');
		expect(host.current.configuration.keys).toEqual([{...key, hash}]);
		expect(JSON.stringify(host.current).includes(secret)).toEqual(false);
		expect(await getExitCode(run(...args))).toEqual(8);
		const list = await run('key', 'list', '--json');
		expect(JSON.parse(list.lines[0]!)).toEqual([
			{name: 'k', customer: 'hanlin', withdrawn: false},
		]);
	});

	it('skips unreachable entry hosts and retries with the same operation id', async () => {
		const stoppedHost = new FakeAdministration();
		await stoppedHost.start();
		const {url} = stoppedHost;
		await stoppedHost.close();
		host.faults.push('lose-before');
		const {code} = await run('key', 'withdraw', 'k', '--url', url);
		expect(code).toEqual(0);
		expect(host.receivedOperationIds).toHaveLength(2);
		expect(new Set(host.receivedOperationIds).size).toEqual(1);
		const credentialFile = await folder.write(
			'credential.txt',
			host.credential,
		);
		const stoppedHostArgs = ['--url', url, '--credential-file', credentialFile];
		expect(
			await getExitCode(runCommandLine('get', ...stoppedHostArgs)),
		).toEqual(4);
		const wrongCredentialFile = await folder.write('wrong.txt', 'guess');
		const wrongCredentialArgs = [
			'--url',
			host.url,
			'--credential-file',
			wrongCredentialFile,
		];
		expect(
			await getExitCode(runCommandLine('get', ...wrongCredentialArgs)),
		).toEqual(6);
	});

	it('starts, pauses and stops shifts', async () => {
		setConfiguration({regions: [createRegion('tpe'), createRegion('sin')]});
		expect(await getExitCode(run('shift', 'pause', 's'))).toEqual(7);
		expect(
			await getExitCode(run('shift', 'start', 's', '--pool', 'p')),
		).toEqual(2);
		const args = '--pool p --from tpe --to sin --share 0.5 --cap-per-second 9';
		await run('shift', 'start', 's', ...args.split(' '), '--cap-burst', '5');
		await run('shift', 'pause', 's');
		expect(host.current.configuration.shifts[0]?.state).toEqual('paused');
		await run('shift', 'start', 's', '--share', '0.6');
		expect(host.current.configuration.shifts[0]).toEqual({
			name: 's',
			pool: 'p',
			from: 'tpe',
			to: 'sin',
			share: 0.6,
			capPerSecond: 9,
			capBurst: 5,
			rampMs: 0,
			state: 'running',
		});
		const {lines} = await run('shift', 'status');
		expect(lines).toEqual(['name=s']);
	});

	it('starts and stops one drain per target', async () => {
		await run('drain', 'start', '--failure-domain', 'tpe/a');
		expect(host.current.configuration.drains).toEqual([
			{
				name: 'failure-domain.tpe.a',
				target: {kind: 'failure-domain', region: 'tpe', name: 'a'},
				state: 'running',
			},
		]);
		await run('drain', 'stop', '--failure-domain', 'tpe/a');
		expect(host.current.configuration.drains[0]?.state).toEqual('stopped');
		expect(await getExitCode(run('drain', 'stop', '--server', 's'))).toEqual(7);
		expect(await getExitCode(run('drain', 'start'))).toEqual(1);
		const incompleteTarget = run('drain', 'start', '--failure-domain', 'tpe');
		expect(await getExitCode(incompleteTarget)).toEqual(2);
	});
});
