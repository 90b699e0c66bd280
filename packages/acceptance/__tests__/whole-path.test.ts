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

describe('request path', () => {
	const fleet = createFleet();
	let sample: Sample;

	before(async () => {
		sample = await startSample(fleet);
	});

	after(async () => {
		await fleet.close();
	});

	it('lists all live entry hosts in a look-up at any of them', async () => {
		for (const host of sample.hosts) {
			const response = await fetch(fleet.toUrl(host, lookUpPath), {headers});
			const body = (await response.json()) as {hosts: Array<{name: string}>};
			const names = body.hosts.map((entry) => entry.name);
			expect(names.sort()).toEqual(['sin-a-1', 'tpe-a-1']);
		}
	});

	it('serves a request in the region of its entry host', async () => {
		for (const host of sample.hosts) {
			const response = await fetch(fleet.toUrl(host, '/entries/yu'), {headers});
			expect(response.status).toEqual(200);
			const server = response.headers.get('x-server') ?? '';
			expect(server).toMatchRegex(new RegExp(`^desk-${host.location.region}`));
		}
	});

	it('executes a request for the customer of its key, whatever customer it names', async () => {
		const response = await fetch(fleet.toUrl(sample.hosts[0]!, '/entries/yu'), {
			headers: {...headers, 'x-customer': 'reader'},
		});
		expect((await response.json()) as object).toLooseEqual(
			expect.subset({customer: 'school'}),
		);
	});

	it('forwards the key to no server, whichever header carries it', async () => {
		const keyHeaders: Array<Record<string, string>> = [
			{cookie: `session=${schoolKey}`},
			{'x-api-key': schoolKey},
			{referer: `http://desk/?key=${schoolKey}`},
			{'proxy-authorization': `Bearer ${schoolKey}`},
		];
		for (const keyHeader of keyHeaders) {
			const target = fleet.toUrl(sample.hosts[0]!, '/entries/yu');
			const response = await fetch(target, {
				headers: {...headers, ...keyHeader},
			});
			expect(response.status).toEqual(200);
		}

		const executions = await Promise.all(
			sample.servers.map(async (server) =>
				fleet.callServer(server, 'GET', '/executions'),
			),
		);
		expect(JSON.stringify(executions)).toMatchRegex(/x-request-id/);
		expect(JSON.stringify(executions).includes(schoolKey)).toEqual(false);
	});

	it('echoes a large upload completely', async () => {
		const body = 'x'.repeat(1_000_000);
		const response = await fetch(fleet.toUrl(sample.hosts[1]!, '/echo'), {
			method: 'POST',
			headers,
			body,
		});
		expect((await response.text()) === body).toEqual(true);
	});

	it('refuses a request without a key as not executed', async () => {
		const response = await fetch(fleet.toUrl(sample.hosts[0]!, '/entries/yu'));
		expect(response.status).toEqual(401);
		expect((await response.json()) as object).toLooseEqual(
			expect.subset({kind: 'key-missing', notRun: true}),
		);
	});

	it('stops on SIGTERM with exit code 0', async () => {
		expect(await sample.hosts[1]!.stop()).toEqual(0);
	});
});
