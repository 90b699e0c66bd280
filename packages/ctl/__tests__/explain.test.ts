import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
	createTemporaryFolder,
	runCommandLine,
	type TemporaryFolder,
} from './run-ctl.js';

const placedLine =
	'  3.2 front-1 {"time":"2026-01-01T00:00:00.100Z","host":"front-1","message":"request placed","requestId":"r-1","callerId":"c-1","server":"i-7"}';
const endedLine =
	'{"time":"2026-01-01T00:00:00.300Z","host":"front-1","message":"request ended","requestId":"r-1","callerId":"c-1","outcome":"outcome-unknown","runs":1}';
const attemptLine =
	'{"time":"2026-01-01T00:00:00.200Z","host":"front-1","message":"attempt ended","requestId":"r-1","server":"i-7","outcome":"unknown"}';
const otherRequestLine =
	'{"time":"2026-01-01T00:00:00.200Z","host":"front-1","message":"request ended","requestId":"r-2","callerId":"c-2","outcome":"answered"}';

describe('explain', () => {
	let folder: TemporaryFolder;

	beforeEach(async () => {
		folder = await createTemporaryFolder();
	});

	afterEach(async () => {
		await folder.close();
	});

	async function explain(id: string, ...more: string[]) {
		const files = [
			['one.log', `${endedLine}\n{"cut`],
			[
				'two.log',
				`words\n${placedLine}\n${attemptLine}\n${otherRequestLine}\n`,
			],
		] as const;
		const options: string[] = [];
		for (const [name, text] of files) {
			options.push('--logs', await folder.write(name, text));
		}

		return runCommandLine('explain', id, ...options, ...more);
	}

	it('sorts the lines of a request from all logs by time and shows the cause', async () => {
		const {code, lines} = await explain('c-1');
		expect(code).toEqual(0);
		expect(lines.map((line) => /front-1 (\w+ \w+)/.exec(line)?.[1])).toEqual([
			'request placed',
			'attempt ended',
			'request ended',
			undefined,
		]);
		expect(lines.at(-1)!).toEqual(expect.includes('It may have run'));
	});

	it('finds a request by its request id and writes JSON with --json', async () => {
		const {lines} = await explain('r-2', '--json');
		const value = JSON.parse(lines.join('\n')) as {cause: string};
		expect(value.cause).toEqual('A backend server answered it.');
	});

	it('fails if no line has the id', async () => {
		const {code} = await explain('c-9');
		expect(code).toEqual(7);
	});

	it('reports a log file that cannot be read', async () => {
		const {code, errors} = await runCommandLine(
			'explain',
			'c',
			'--logs',
			'none',
		);
		expect(code).toEqual(7);
		expect(errors.join('\n')).toEqual(expect.includes('none'));
	});
});
