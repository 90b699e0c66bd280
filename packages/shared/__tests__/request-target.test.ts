import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {parseRequestTarget} from '../src/index.js';

describe('the target of a request', () => {
	it('is parsed into path and query', () => {
		const url = parseRequestTarget('/a/b?x=1');
		expect([url?.pathname, url?.searchParams.get('x')]).toEqual(['/a/b', '1']);
	});

	it('that no URL can be made of is undefined', () => {
		for (const target of ['//', '//[', 'http://', '///:x']) {
			expect(parseRequestTarget(target)).toEqual(undefined);
		}
	});

	it('never makes the parser throw', () => {
		fc.assert(
			fc.property(fc.string(), (text) => {
				parseRequestTarget(text);
				parseRequestTarget(`//${text}`);
			}),
			{numRuns: 2000, seed: 3},
		);
	});
});
