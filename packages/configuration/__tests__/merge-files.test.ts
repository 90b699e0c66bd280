import {describe, it} from 'node:test';
import {expect} from 'earl';
import {toProblemLine} from '@parsleyvale/shared';
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
		? result.error.map((problem) => toProblemLine(problem))
		: [];
}

describe('merge of files', () => {
	it('joins sections in the order of the names and fills in defaults', () => {
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
		['not JSON', '{', '0.json: (whole file): The file is not JSON'],
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
			'a name in two files',
			regions.text,
			'10-regions.json: regions.0.name: "tpe" stands in 0.json already.',
		],
		[
			'a customer that is not defined',
			`{"keys": [{"name": "k", "customer": "a", "hash": "${'0'.repeat(64)}"}]}`,
			'0.json: keys.0.customer: "a" is not defined. Allowed are: none is defined.',
		],
		[
			'a pool that is not defined',
			'{"routes": [{"name": "r", "pathPrefix": "/", "methods": ["GET"], "pool": "p", "idempotent": true, "deadlineMs": 5}]}',
			'0.json: routes.0.pool: "p" is not defined.',
		],
		[
			'a link to an unknown region',
			'{"links": [{"name": "l", "between": ["tpe", "sin"], "delayMs": 1, "bytesPerSecond": 1}]}',
			'0.json: links.0.between.1: "sin" is not defined. Allowed are: tpe.',
		],
		[
			'a drain of an unknown failure domain',
			'{"drains": [{"name": "d", "target": {"kind": "failure-domain", "region": "tpe", "name": "tpe-b"}}]}',
			'0.json: drains.0.target.name: "tpe-b" is not defined. Allowed are: tpe-a.',
		],
		[
			'a shift to its own region',
			'{"shifts": [{"name": "s", "pool": "p", "from": "tpe", "to": "tpe", "share": 1, "capPerSecond": 1, "capBurst": 1}]}',
			'0.json: shifts.0.to: A shift goes to a different region.',
		],
	];
	for (const [fault, text, line] of faults) {
		it(`names file, field and remedy for ${fault}`, () => {
			const lines = listProblems(text);
			expect(lines.some((found) => found.startsWith(line))).toEqual(true);
		});
	}

	it('refuses a second link for a pair, whichever way round', () => {
		const configuration = createSample(0);
		const [link] = configuration.links;
		const text = JSON.stringify({
			...configuration,
			links: [link, {...link, name: 'other', between: ['sin', 'tpe']}],
		});
		const result = mergeFiles([{name: 'all.json', text}]);
		const lines = result.isErr
			? result.error.map((problem) => toProblemLine(problem))
			: [];
		expect(lines).toEqual([
			'all.json: links.1.between: A second link between sin and tpe. One is allowed.',
		]);
	});
});

describe('comparison of configurations', () => {
	it('tells each object that differs, with its fields', () => {
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
