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
	return parse(...fields).unwrapOr(undefined)!.forwarded;
}

describe('header of a caller', () => {
	it('gives the key, and forwards neither it nor the host', () => {
		const parsed = parse('Accept', 'text/plain').unwrapOr(undefined)!;
		expect(parsed.key).toEqual(key);
		expect(parsed.forwarded).toEqual(['accept', 'text/plain']);
	});

	const smuggled: ReadonlyArray<readonly [string, string]> = [
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

	for (const [name, value] of smuggled) {
		it(`does not forward ${name}: ${value.slice(0, 20)}`, () => {
			expect(listForwarded(name, value)).toEqual([]);
		});
	}

	it('drops what Connection lists', () => {
		expect(listForwarded('Connection', 'X-Hop', 'X-Hop', '1')).toEqual([]);
	});

	for (const name of ['X-Customer', 'X-Request-Id', 'Cookie', 'Host']) {
		it(`refuses Connection that lists ${name}`, () => {
			expect(parse('Connection', name).isErr).toEqual(true);
		});
	}

	it('refuses a key in the target, also percent-encoded', () => {
		const fields = ['Host', 'desk', 'Authorization', `Bearer ${key}`];
		const encoded = `%70${key.slice(1)}`;
		for (const target of [`/a?k=${key}`, `/a?k=${encoded}`, `/${otherKey}`]) {
			expect(parseCallerHeader(target, fields).isErr).toEqual(true);
		}
	});

	it('takes the path of an absolute target and leaves its user behind', () => {
		const fields = ['Host', 'desk'];
		const target = `http://${otherKey}@desk/entries?a=1`;
		const parsed = parseCallerHeader(target, fields).unwrapOr(undefined)!;
		expect(parsed.target.pathAndQuery).toEqual('/entries?a=1');
	});
});
