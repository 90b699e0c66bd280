import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {createFolder, runLocal, type Folder} from './ctl-run.js';

const placed =
	'  3.2 front-1 {"time":"2026-01-01T00:00:00.100Z","host":"front-1","message":"request placed","requestId":"r-1","callerId":"c-1","server":"i-7"}';
const ended =
	'{"time":"2026-01-01T00:00:00.300Z","host":"front-1","message":"request ended","requestId":"r-1","callerId":"c-1","outcome":"outcome-unknown","runs":1}';
const attempt =
	'{"time":"2026-01-01T00:00:00.200Z","host":"front-1","message":"attempt ended","requestId":"r-1","server":"i-7","outcome":"unknown"}';
const other =
	'{"time":"2026-01-01T00:00:00.200Z","host":"front-1","message":"request ended","requestId":"r-2","callerId":"c-2","outcome":"answered"}';

describe('explain', () => {
	let folder: Folder;

	beforeEach(async () => {
		folder = await createFolder();
	});

	afterEach(async () => {
		await folder.close();
	});

	async function explain(id: string, ...more: string[]) {
		const files = [
			['one.log', `${ended}\n{"cut`],
			['two.log', `words\n${placed}\n${attempt}\n${other}\n`],
		] as const;
		const options: string[] = [];
		for (const [name, text] of files) {
			options.push('--logs', await folder.write(name, text));
		}

		return runLocal('explain', id, ...options, ...more);
	}

	it('joins the lines of all logs in the order of their times, with the cause', async () => {
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

	it('takes the id of the host, too, and writes JSON when asked', async () => {
		const {lines} = await explain('r-2', '--json');
		const value = JSON.parse(lines.join('\n')) as {cause: string};
		expect(value.cause).toEqual('A backend server answered it.');
	});

	it('says that no line tells of a request', async () => {
		const {code} = await explain('c-9');
		expect(code).toEqual(7);
	});

	it('names a file that cannot be read', async () => {
		const {code, errors} = await runLocal('explain', 'c', '--logs', 'none');
		expect(code).toEqual(7);
		expect(errors.join('\n')).toEqual(expect.includes('none'));
	});
});
