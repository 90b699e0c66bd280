import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseCallerHeader} from '../src/caller-header.js';

const key = `pv_${'s'.repeat(43)}`;
const otherKey = `pv_${'o'.repeat(43)}`;

function parse(...fields: string[]) {
	return parseCallerHeader('/entries', [
		'Host',
		'desk',
		'Authorization',
		`Bearer ${key}`,
		...fields,
	]);
}

function listForwarded(...fields: string[]): string[] {
	return parse(...fields).unwrapOr(undefined)!.forwardedFields;
}

describe('parseCallerHeader', () => {
	it('returns the key and forwards neither the key nor Host', () => {
		const parsed = parse('Accept', 'text/plain').unwrapOr(undefined)!;
		expect(parsed.key).toEqual(key);
		expect(parsed.forwardedFields).toEqual(['accept', 'text/plain']);
	});

	const unforwardedFields: ReadonlyArray<readonly [string, string]> = [
		['X-Note', `see ${key}`],
		['Cookie', `session=${key}`],
		['X-Note', otherKey],
		['Referer', `http://desk/?key=${otherKey}`],
		['Proxy-Authorization', 'Basic abc'],
		['X-API-Key', 'anything'],
		['x-customer', 'reader'],
		['X-CUSTOMER', 'reader'],
		['X-Request-Id', 'mine'],
		['X-Forwarded-For', '10.0.0.1'],
		['Forwarded', 'for=10.0.0.1'],
		['X-Not-Run', 'true'],
		['Upgrade', 'h2c'],
		['HTTP2-Settings', 'abc'],
		['TE', 'trailers'],
		['Trailer', 'X-Customer'],
	];

	for (const [name, value] of unforwardedFields) {
		it(`does not forward ${name}: ${value.slice(0, 20)}`, () => {
			expect(listForwarded(name, value)).toEqual([]);
		});
	}

	it('does not forward headers listed in Connection', () => {
		expect(listForwarded('Connection', 'X-Hop', 'X-Hop', '1')).toEqual([]);
	});

	for (const name of ['X-Customer', 'X-Request-Id', 'Cookie', 'Host']) {
		it(`refuses a Connection header that lists ${name}`, () => {
			expect(parse('Connection', name).isErr).toEqual(true);
		});
	}

	it('refuses a target that contains a key, plain or percent-encoded', () => {
		const fields = ['Host', 'desk', 'Authorization', `Bearer ${key}`];
		const encoded = `%70${key.slice(1)}`;
		for (const target of [`/a?k=${key}`, `/a?k=${encoded}`, `/${otherKey}`]) {
			expect(parseCallerHeader(target, fields).isErr).toEqual(true);
		}
	});

	it('converts an absolute target to origin form without its user name', () => {
		const fields = ['Host', 'desk'];
		const target = `http://${otherKey}@desk/entries?a=1`;
		const parsed = parseCallerHeader(target, fields).unwrapOr(undefined)!;
		expect(parsed.target.pathAndQuery).toEqual('/entries?a=1');
	});
});
