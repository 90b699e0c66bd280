import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ServerTable} from '../src/servers/server-table.js';
import {createServer} from './support/kernel-session.js';

const unread = Number.NEGATIVE_INFINITY;

function list(coldRemainingMs: number, era: number) {
	const position = {era, revision: 1};
	return {
		position,
		servers: [createServer({coldRemainingMs})],
		evacuationsPosition: position,
		evacuated: [],
	};
}

function isStarting(table: ServerTable, now: number): boolean {
	return table.states.get('server-1')!.isStarting(now);
}

describe('a server that is starting up', () => {
	it('does not count as started by an entry from an older copy of the store', () => {
		const table = new ServerTable();
		table.apply(list(5000, 1), 0, unread);
		table.apply(list(0, 2), 1000, 3300);
		expect(isStarting(table, 4900)).toEqual(true);
		expect(isStarting(table, 5100)).toEqual(false);
	});

	it('counts as started when its entry says so', () => {
		const table = new ServerTable();
		table.apply(list(5000, 1), 0, unread);
		table.apply(list(0, 1), 1000, unread);
		expect(isStarting(table, 1100)).toEqual(false);
	});
});
