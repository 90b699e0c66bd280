import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Server} from '@parsleyvale/shared';
import {computeSubsetSize, rankServers} from '../src/servers/subset.js';

function createServers(count: number): Server[] {
	return Array.from({length: count}, (_, index) => ({
		name: `server-${index}`,
		region: 'tpe',
		failureDomain: 'tpe-a',
		address: '127.0.0.1',
		port: 8000,
		slots: 3,
		connections: 360,
	}));
}

function rankNames(host: string, servers: readonly Server[]): string[] {
	return rankServers(
		host,
		servers.map((server) => ({server})),
	).map(({server}) => server.name);
}

describe('subset of servers', () => {
	it('holds all servers of a region at the sizes of today', () => {
		expect(computeSubsetSize(10, createServers(8))).toEqual(8);
	});

	it('keeps 2,800 hosts under a quarter of the connections', () => {
		const servers = createServers(200);
		const size = computeSubsetSize(2800, servers);
		expect(size).toEqual(3);
		expect(computeSubsetSize(280, servers)).toEqual(21);
	});

	it('ranks stably when a server goes', () => {
		const servers = createServers(20);
		const all = rankNames('host-1', servers);
		const rest = rankNames(
			'host-1',
			servers.filter((server) => server.name !== all[0]),
		);
		expect(rest).toEqual(all.slice(1));
	});

	it('spreads hosts over the servers', () => {
		const servers = createServers(8);
		const firsts = new Set(
			Array.from(
				{length: 100},
				(_, index) => rankNames(`host-${index}`, servers)[0],
			),
		);
		expect(firsts.size).toEqual(8);
	});
});
