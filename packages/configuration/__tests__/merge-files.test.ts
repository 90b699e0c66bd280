import {describe, it} from 'node:test';
import {expect} from 'earl';
import {formatProblem} from '@parsleyvale/shared';
import {
	compareConfigurations,
	formatDifference,
	mergeFiles,
} from '../src/index.js';
import {createSample} from './samples.js';

const customers = {
	name: '20-customers.json',
	text: '{"customers": [{"name": "hanlin", "ratePerSecond": 5, "burst": 5}]}',
};
const regions = {
	name: '10-regions.json',
	text: '{"regions": [{"name": "tpe", "failureDomains": ["tpe-a"]}]}',
};

function listProblems(...texts: string[]): string[] {
	const files = texts.map((text, index) => ({name: `${index}.json`, text}));
	const result = mergeFiles([...files, regions]);
	return result.isErr
		? result.error.map((problem) => formatProblem(problem))
		: [];
}

describe('mergeFiles', () => {
	it('concatenates sections in the order of file names and applies defaults', () => {
		const more = {
			name: '30-more.json',
			text: customers.text.replace('hanlin', 'tintwell'),
		};
		const merged = mergeFiles([more, customers, regions]);
		const names = merged
			.map((configuration) => configuration.customers.map(({name}) => name))
			.unwrapOr([]);
		expect(names).toEqual(['hanlin', 'tintwell']);
	});

	const faults: Array<[fault: string, text: string, line: string]> = [
		['not JSON', '{', '0.json: (whole file): The file is not valid JSON'],
		[
			'an unknown field',
			'{"customer": []}',
			'0.json: (whole file): Unrecognized key: "customer"',
		],
		[
			'a wrong value',
			'{"customers": [{"name": "a", "ratePerSecond": 0, "burst": 1}]}',
			'0.json: customers.0.ratePerSecond: Too small: expected number to be >0; found 0',
		],
		[
			'a name defined in two files',
			regions.text,
			'10-regions.json: regions.0.name: "tpe" is already defined in 0.json.',
		],
		[
			'an undefined customer',
			`{"keys": [{"name": "k", "customer": "a", "hash": "${'0'.repeat(64)}"}]}`,
			'0.json: keys.0.customer: "a" is not defined. Allowed are: (none).',
		],
		[
			'an undefined pool',
			'{"routes": [{"name": "r", "pathPrefix": "/", "methods": ["GET"], "pool": "p", "idempotent": true, "deadlineMs": 5}]}',
			'0.json: routes.0.pool: "p" is not defined.',
		],
		[
			'a link to an undefined region',
			'{"links": [{"name": "l", "between": ["tpe", "sin"], "delayMs": 1, "bytesPerSecond": 1}]}',
			'0.json: links.0.between.1: "sin" is not defined. Allowed are: tpe.',
		],
		[
			'a drain of an undefined failure domain',
			'{"drains": [{"name": "d", "target": {"kind": "failure-domain", "region": "tpe", "name": "tpe-b"}}]}',
			'0.json: drains.0.target.name: "tpe-b" is not defined. Allowed are: tpe-a.',
		],
		[
			'a shift within one region',
			'{"shifts": [{"name": "s", "pool": "p", "from": "tpe", "to": "tpe", "share": 1, "capPerSecond": 1, "capBurst": 1}]}',
			'0.json: shifts.0.to: A shift must lead to a different region.',
		],
	];
	for (const [fault, text, line] of faults) {
		it(`reports file, field and cause of ${fault}`, () => {
			const lines = listProblems(text);
			expect(lines.some((found) => found.startsWith(line))).toEqual(true);
		});
	}

	it('refuses a duplicate link in either direction', () => {
		const configuration = createSample(0);
		const [link] = configuration.links;
		const text = JSON.stringify({
			...configuration,
			links: [link, {...link, name: 'other', between: ['sin', 'tpe']}],
		});
		const result = mergeFiles([{name: 'all.json', text}]);
		const lines = result.isErr
			? result.error.map((problem) => formatProblem(problem))
			: [];
		expect(lines).toEqual([
			'all.json: links.1.between: Duplicate link between sin and tpe. Only one link per pair of regions is allowed.',
		]);
	});
});

describe('compareConfigurations', () => {
	it('lists each changed object with its changed fields', () => {
		const after = createSample(1);
		after.keys.pop();
		after.regions.push({...after.regions[0]!, name: 'fra'});
		const lines = compareConfigurations(createSample(0), after);
		expect(lines.map((line) => formatDifference(line))).toEqual([
			'+ regions/fra',
			'~ customers/hanlin: ratePerSecond',
			'- keys/key-3',
		]);
	});
});
