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
	it('contains all servers of a small region', () => {
		expect(computeSubsetSize(10, createServers(8))).toEqual(8);
	});

	it('limits 2,800 hosts to a quarter of the connections', () => {
		const servers = createServers(200);
		const size = computeSubsetSize(2800, servers);
		expect(size).toEqual(3);
		expect(computeSubsetSize(280, servers)).toEqual(16);
		expect(computeSubsetSize(10, servers)).toEqual(80);
	});

	it('keeps the ranking of the others when a server is removed', () => {
		const servers = createServers(20);
		const ranking = rankNames('host-1', servers);
		const remaining = rankNames(
			'host-1',
			servers.filter((server) => server.name !== ranking[0]),
		);
		expect(remaining).toEqual(ranking.slice(1));
	});

	it('distributes hosts over all servers', () => {
		const servers = createServers(8);
		const preferredServers = new Set(
			Array.from(
				{length: 100},
				(_, index) => rankNames(`host-${index}`, servers)[0],
			),
		);
		expect(preferredServers.size).toEqual(8);
	});
});
