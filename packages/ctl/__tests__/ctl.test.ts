import {createHash} from 'node:crypto';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {configurationSchema, type Configuration} from '@parsleyvale/shared';
import {expect} from 'earl';
import {
	createFolder,
	runAgainst,
	runLocal,
	type Folder,
	type Run,
} from './ctl-run.js';
import {FakeAdministration} from './fake-administration.js';

const hanlin = {name: 'hanlin', ratePerSecond: 10, burst: 20, weight: 1};
const schools = {name: 'schools', ratePerSecond: 5, burst: 5, weight: 1};
const key = {
	name: 'k',
	customer: 'hanlin',
	hash: 'a'.repeat(64),
	withdrawn: false,
};
const region = (name: string) => ({name, failureDomains: ['a', 'b']});

function addCustomer(
	configuration: Configuration,
	customer: Configuration['customers'][number],
): Configuration {
	const customers = [...configuration.customers, customer];
	return {...configuration, customers};
}

describe('parsleyvalectl', () => {
	let host: FakeAdministration;
	let folder: Folder;

	beforeEach(async () => {
		host = new FakeAdministration();
		folder = await createFolder();
		await host.start();
	});

	afterEach(async () => {
		await host.close();
		await folder.close();
	});

	async function run(...args: string[]): Promise<Run> {
		return runAgainst([host], folder, ...args);
	}

	async function getCode(running: Promise<Run>): Promise<number> {
		const {code} = await running;
		return code;
	}

	function setCurrent(value: unknown): void {
		const configuration = configurationSchema.parse(value);
		host.current = {...host.current, configuration};
	}

	async function setHanlin(): Promise<Run> {
		return run('customer', 'set', 'hanlin', '--rate', '10', '--burst', '20');
	}

	it('lists the exit codes in its help', async () => {
		const {code, lines} = await runLocal('--help');
		expect(code).toEqual(0);
		expect(lines.join('\n')).toInclude('3  another operator changed the same');
	});

	it('names file and field of what is not valid', async () => {
		await folder.write('10.json', {customers: [{...hanlin, burst: -1}]});
		const {code, errors} = await runLocal('validate', folder.path);
		expect(code).toEqual(2);
		expect(errors).toHaveLength(1);
		expect(errors[0]!).toInclude('10.json: customers.0.burst: ');
		const empty = await runLocal('validate', `${folder.path}/none`);
		expect(empty.code).toEqual(2);
	});

	it('applies a folder once and shows the difference', async () => {
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
		expect(host.made).toHaveLength(1);
	});

	it('keeps keys, shifts and drains made by command when it applies', async () => {
		const drain = {name: 'region.tpe', target: {kind: 'region', name: 'tpe'}};
		setCurrent({
			regions: [region('tpe')],
			customers: [hanlin],
			keys: [{...key, withdrawn: true}],
			drains: [{...drain, state: 'stopped'}],
		});
		await folder.write('10.json', {
			regions: [region('tpe'), region('sin')],
			customers: [hanlin],
			keys: [key],
			drains: [drain],
		});
		const {lines} = await run('apply', folder.path);
		expect(lines).toEqual(['+ regions/sin', 'Accepted as version 2']);
		expect(host.current.configuration.keys[0]?.withdrawn).toEqual(true);
		expect(host.current.configuration.drains[0]?.state).toEqual('stopped');
	});

	it('does not remove a customer whose keys are in force', async () => {
		setCurrent({customers: [hanlin], keys: [key]});
		await folder.write('10.json', {customers: [schools]});
		expect(await getCode(run('apply', folder.path))).toEqual(2);
		expect(await getCode(run('customer', 'remove', 'hanlin'))).toEqual(8);
		setCurrent({customers: [hanlin], keys: [{...key, withdrawn: true}]});
		expect(await getCode(run('customer', 'remove', 'hanlin'))).toEqual(0);
		expect(host.current.configuration.keys).toEqual([]);
	});

	it('names both versions when another operator was faster', async () => {
		await folder.write('10.json', {customers: [hanlin]});
		host.faults.push('race');
		const {code, errors} = await run('apply', folder.path);
		expect(code).toEqual(3);
		expect(errors[0]!).toInclude('for version 1,');
		expect(errors[0]!).toInclude('made version 2.');
		expect(host.made).toEqual([]);
	});

	it('changes an object on top of a change of another object', async () => {
		host.race = (configuration) => addCustomer(configuration, schools);
		host.faults.push('race');
		expect(await getCode(setHanlin())).toEqual(0);
		expect(host.current.configuration.customers).toEqual([schools, hanlin]);
	});

	it('does not overwrite a racing change of the same object', async () => {
		const other = {...hanlin, burst: 99};
		host.race = (configuration) => addCustomer(configuration, other);
		host.faults.push('race');
		expect(await getCode(setHanlin())).toEqual(3);
		expect(host.current.configuration.customers).toEqual([other]);
	});

	it('resolves an answer that was lost by the operation id', async () => {
		host.faults.push('lose-after');
		const {code, lines} = await setHanlin();
		expect(code).toEqual(0);
		expect(lines).toEqual(['Customer hanlin: accepted as version 2']);
		expect(host.came).toHaveLength(1);
	});

	it('sends a change that was not made again under the same id', async () => {
		host.faults.push('lose-before');
		expect(await getCode(setHanlin())).toEqual(0);
		expect(host.came).toHaveLength(2);
		expect(new Set(host.came).size).toEqual(1);
	});

	it('says that the outcome is unknown where a later version hides it', async () => {
		host.faults.push('hide');
		expect(await getCode(setHanlin())).toEqual(5);
		expect(host.made).toHaveLength(1);
	});

	it('gives up on entry hosts that stay silent, and says so', async () => {
		host.faults.push('silent', 'silent', 'silent');
		const args = ['--rate', '10', '--burst', '20', '--timeout', '1'];
		expect(await getCode(run('customer', 'set', 'x', ...args))).toEqual(5);
	});

	it('never makes a change twice, and tells the truth, in any order of faults', async () => {
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
				const each = new FakeAdministration();
				await each.start();
				each.faults.push(...script);
				each.race = (configuration) => addCustomer(configuration, schools);
				const args = [
					'customer',
					'set',
					'hanlin',
					'--rate',
					'1',
					'--burst',
					'1',
				];
				const {code} = await runAgainst([each], folder, ...args);
				await each.close();
				expect(each.made.length <= 1).toEqual(true);
				if (code !== 5) {
					expect(each.made.length).toEqual(code === 0 ? 1 : 0);
				}
			}),
		);
	});

	it('shows a key once and sends only its hash', async () => {
		setCurrent({customers: [hanlin]});
		const args = ['key', 'create', 'k', '--customer', 'hanlin'];
		const {lines} = await run(...args);
		const secret = lines.at(-1)!;
		const hash = createHash('sha256').update(secret).digest('hex');
		expect(host.current.configuration.keys).toEqual([{...key, hash}]);
		expect(JSON.stringify(host.current).includes(secret)).toEqual(false);
		expect(await getCode(run(...args))).toEqual(8);
		const list = await run('key', 'list', '--json');
		expect(JSON.parse(list.lines[0]!)).toEqual([
			{name: 'k', customer: 'hanlin', withdrawn: false},
		]);
	});

	it('tries the next entry host with the same operation id', async () => {
		const gone = new FakeAdministration();
		await gone.start();
		const {url} = gone;
		await gone.close();
		host.faults.push('lose-before');
		const {code} = await run('key', 'withdraw', 'k', '--url', url);
		expect(code).toEqual(0);
		expect(host.came).toHaveLength(2);
		expect(new Set(host.came).size).toEqual(1);
		const file = await folder.write('credential.txt', host.credential);
		const alone = ['--url', url, '--credential-file', file];
		expect(await getCode(runLocal('get', ...alone))).toEqual(4);
		const wrong = await folder.write('wrong.txt', 'guess');
		const refused = ['--url', host.url, '--credential-file', wrong];
		expect(await getCode(runLocal('get', ...refused))).toEqual(6);
	});

	it('starts, pauses and stops shifts', async () => {
		setCurrent({regions: [region('tpe'), region('sin')]});
		expect(await getCode(run('shift', 'pause', 's'))).toEqual(7);
		expect(await getCode(run('shift', 'start', 's', '--pool', 'p'))).toEqual(2);
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

	it('starts and stops one drain for each target', async () => {
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
		expect(await getCode(run('drain', 'stop', '--server', 's'))).toEqual(7);
		expect(await getCode(run('drain', 'start'))).toEqual(1);
		const half = run('drain', 'start', '--failure-domain', 'tpe');
		expect(await getCode(half)).toEqual(2);
	});
});
