import {once} from 'node:events';
import {createServer, request as startRequest} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {Readable} from 'node:stream';
import {expect} from 'earl';
import {request as sendRequest} from 'undici';
import {
	createFleet,
	schoolKey,
	sendRaw,
	startSample,
	type Sample,
} from '../src/index.js';

const headers = {authorization: `Bearer ${schoolKey}`};
const uploadBytes = 20_000_000;
const chunk = new Uint8Array(100_000).fill(120);

describe('HTTP through an entry host', () => {
	const fleet = createFleet();
	let sample: Sample;

	before(async () => {
		sample = await startSample(fleet);
	});

	after(async () => {
		await fleet.close();
	});

	function toUrl(target: string): string {
		return fleet.toUrl(sample.hosts[0]!, target);
	}

	it('responds to HEAD with headers and without a body', async () => {
		const response = await fetch(toUrl('/sized/1000'), {
			method: 'HEAD',
			headers,
		});
		expect(response.status).toEqual(200);
		expect(response.headers.get('content-length')).toEqual('1000');
		expect(await response.text()).toEqual('');
	});

	it('forwards 304 and 204 without a body', async () => {
		for (const status of [304, 204]) {
			const response = await fetch(toUrl(`/status/${status}`), {headers});
			expect(response.status).toEqual(status);
		}
	});

	it('streams a large response completely', async () => {
		const response = await fetch(toUrl(`/sized/${uploadBytes}`), {headers});
		const body = await response.arrayBuffer();
		expect(body.byteLength).toEqual(uploadBytes);
	});

	it('streams a chunked upload completely', async () => {
		async function* createChunks() {
			for (let sent = 0; sent < uploadBytes; sent += chunk.length) {
				yield chunk;
			}
		}

		const response = await sendRequest(toUrl('/echo'), {
			method: 'POST',
			headers,
			body: Readable.from(createChunks()),
		});
		const body = await response.body.arrayBuffer();
		expect(response.statusCode).toEqual(200);
		expect(body.byteLength).toEqual(uploadBytes);
	});

	it('sends 100 Continue only for a request that it admits', async () => {
		const {location, readyMessage} = sample.hosts[0]!;
		const toRequestHead = (key: string) =>
			`POST /echo HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer ${key}\r\n` +
			'Content-Length: 4\r\nExpect: 100-continue\r\n\r\n';
		const accepted = await sendRaw(
			location.address,
			readyMessage.callers,
			`${toRequestHead(schoolKey)}abcd`,
			2,
		);
		expect(accepted.statuses).toEqual([100, 200]);
		const rejected = await sendRaw(
			location.address,
			readyMessage.callers,
			toRequestHead('nobody-has-this'),
			1,
		);
		expect(rejected.statuses).toEqual([401]);
	});

	it('forwards the trailers of a response', async () => {
		const server = createServer((request, response) => {
			response.writeHead(200, {
				trailer: 'x-checksum',
				'x-request-id': String(request.headers['x-request-id']),
			});
			response.write('entry');
			response.addTrailers({'x-checksum': 'abc'});
			response.end();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const {configuration} = sample;
		const [pool] = configuration.pools;
		const [first] = pool!.servers;
		await fleet.applyConfiguration(sample.hosts[0]!, 1, {
			...configuration,
			pools: [
				...configuration.pools,
				{...pool!, name: 'trailers', servers: [{...first!, name: 't', port}]},
			],
			routes: [
				...configuration.routes,
				{
					...configuration.routes[0]!,
					name: 'trailers',
					pathPrefix: '/trailers',
					pool: 'trailers',
				},
			],
		});
		await wait(1000);
		const response = await sendRequest(toUrl('/trailers'), {headers});
		expect(await response.body.text()).toEqual('entry');
		expect(response.trailers).toEqual({'x-checksum': 'abc'});
		server.closeAllConnections();
		server.close();
	});

	it('cancels the execution at the server when the caller disconnects', async () => {
		const {location, readyMessage} = sample.hosts[0]!;
		const request = startRequest({
			host: location.address,
			port: readyMessage.callers,
			path: '/slow/4000',
			headers,
		});
		request.on('error', () => undefined);
		request.end();
		await wait(300);
		request.destroy();
		await wait(500);
		const lists = await Promise.all(
			sample.servers.map(async (server) =>
				fleet.callServer(server, 'GET', '/executions'),
			),
		);
		const outcomes = (lists.flat() as Array<{target: string; outcome: string}>)
			.filter(({target}) => target.startsWith('/slow/'))
			.map(({outcome}) => outcome);
		expect(outcomes).toEqual(['cancelled']);
	});
});
