import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {lookUpPath} from '@parsleyvale/daemon';
import {
	createFleet,
	schoolKey,
	startSample,
	type Sample,
} from '../src/index.js';

const headers = {authorization: `Bearer ${schoolKey}`};

describe('whole path', () => {
	const fleet = createFleet();
	let sample: Sample;

	before(async () => {
		sample = await startSample(fleet);
	});

	after(async () => {
		await fleet.close();
	});

	it('answers a look-up at any entry host with all live ones', async () => {
		for (const host of sample.hosts) {
			const answer = await fetch(fleet.toUrl(host, lookUpPath), {headers});
			const body = (await answer.json()) as {hosts: Array<{name: string}>};
			const names = body.hosts.map((entry) => entry.name);
			expect(names.sort()).toEqual(['sin-a-1', 'tpe-a-1']);
		}
	});

	it('serves a request in the region of its entry host', async () => {
		for (const host of sample.hosts) {
			const answer = await fetch(fleet.toUrl(host, '/entries/yu'), {headers});
			expect(answer.status).toEqual(200);
			const server = answer.headers.get('x-server') ?? '';
			expect(server).toMatchRegex(new RegExp(`^desk-${host.place.region}`));
		}
	});

	it('runs a request for the customer whose key came with it', async () => {
		const answer = await fetch(fleet.toUrl(sample.hosts[0]!, '/entries/yu'), {
			headers: {...headers, 'x-customer': 'reader'},
		});
		expect((await answer.json()) as object).toLooseEqual(
			expect.subset({customer: 'school'}),
		);
	});

	it('shows the key to no server, wherever the caller puts it', async () => {
		const spellings: Array<Record<string, string>> = [
			{cookie: `session=${schoolKey}`},
			{'x-api-key': schoolKey},
			{referer: `http://desk/?key=${schoolKey}`},
			{'proxy-authorization': `Bearer ${schoolKey}`},
		];
		for (const spelling of spellings) {
			const target = fleet.toUrl(sample.hosts[0]!, '/entries/yu');
			const answer = await fetch(target, {headers: {...headers, ...spelling}});
			expect(answer.status).toEqual(200);
		}

		const seen = await Promise.all(
			sample.servers.map(async (server) =>
				fleet.callServer(server, 'GET', '/executions'),
			),
		);
		expect(JSON.stringify(seen)).toMatchRegex(/x-request-id/);
		expect(JSON.stringify(seen).includes(schoolKey)).toEqual(false);
	});

	it('returns the whole body of an upload', async () => {
		const body = 'x'.repeat(1_000_000);
		const answer = await fetch(fleet.toUrl(sample.hosts[1]!, '/echo'), {
			method: 'POST',
			headers,
			body,
		});
		expect((await answer.text()) === body).toEqual(true);
	});

	it('refuses a request without a key and says that it did not run', async () => {
		const answer = await fetch(fleet.toUrl(sample.hosts[0]!, '/entries/yu'));
		expect(answer.status).toEqual(401);
		expect((await answer.json()) as object).toLooseEqual(
			expect.subset({kind: 'key-missing', notRun: true}),
		);
	});

	it('stops on SIGTERM with exit code 0', async () => {
		expect(await sample.hosts[1]!.stop()).toEqual(0);
	});
});
