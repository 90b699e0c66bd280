import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {createManualClock, type EntryHost} from '@parsleyvale/shared';
import {expect} from 'earl';
import {
	createPlatformClient,
	type PlatformClient,
	type StoredObject,
} from '../src/index.js';

type Resource = {close(): unknown};

/** Accepts a request and never responds. */
function neverRespond(): undefined {
	return undefined;
}

describe('platform client', () => {
	const openResources: Resource[] = [];

	afterEach(async () => {
		for (const resource of openResources.splice(0).reverse()) {
			await resource.close();
		}
	});

	async function startServer(listener: RequestListener): Promise<Server> {
		const server = createServer(listener);
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		openResources.push({
			close() {
				server.closeAllConnections();
				server.close();
			},
		});
		return server;
	}

	function createClient(server: Server, requestTimeout = 2000): PlatformClient {
		const {port} = server.address() as AddressInfo;
		const client = createPlatformClient({
			url: `http://127.0.0.1:${port}`,
			clock: createManualClock(7),
			random: () => 0,
			requestTimeout,
		});
		openResources.push(client);
		return client;
	}

	async function createClientWithResponse(
		status: number,
		body: string,
	): Promise<PlatformClient> {
		const server = await startServer((_request, response) => {
			response.statusCode = status;
			response.end(body);
		});
		return createClient(server);
	}

	it('distinguishes found, missing and failed reads', async () => {
		const object = {name: 'x', version: 3, value: {a: 1}};
		const foundClient = await createClientWithResponse(
			200,
			JSON.stringify(object),
		);
		expect(await foundClient.readObject('x')).toEqual({kind: 'found', object});
		expect(foundClient.lastResponseAt).toEqual(7);
		const missingClient = await createClientWithResponse(404, '{}');
		expect(await missingClient.readObject('x')).toEqual({kind: 'missing'});
		const malformedClient = await createClientWithResponse(
			200,
			'{"version":"x"}',
		);
		expect(await malformedClient.readObject('x')).toEqual({kind: 'failed'});
	});

	it('reports a write as failed only for statuses that rule out its execution', async () => {
		for (const status of [429, 413]) {
			const client = await createClientWithResponse(status, '{}');
			expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'failed'});
		}

		for (const status of [500, 503, 400, 200]) {
			const client = await createClientWithResponse(status, '{}');
			expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'unknown'});
		}
	});

	it('reports a write as failed when the connection is refused', async () => {
		const server = await startServer(neverRespond);
		const client = createClient(server);
		await new Promise((resolve) => {
			server.close(resolve);
		});
		expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'failed'});
		expect(client.lastResponseAt).toEqual(undefined);
	});

	it('reports a write as unknown when its response is lost, and does not retry it', async () => {
		let writeCount = 0;
		const server = await startServer((request, response) => {
			request.resume().on('end', () => {
				writeCount++;
				response.destroy();
			});
		});
		const client = createClient(server);
		expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'unknown'});
		expect(writeCount).toEqual(1);
	});

	it('reports a write as unknown when the response times out', async () => {
		const server = await startServer(neverRespond);
		const client = createClient(server, 20);
		expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'unknown'});
		expect(await client.deleteObject('x', 1)).toEqual({kind: 'unknown'});
		expect(await client.readObject('x')).toEqual({kind: 'failed'});
	});

	it('sends the expected version with writes and deletes', async () => {
		const receivedRequests: string[] = [];
		const server = await startServer((request, response) => {
			receivedRequests.push(`${request.method} ${request.url}`);
			response.statusCode = request.method === 'PUT' ? 200 : 409;
			response.end('{"version":5}');
		});
		const client = createClient(server);
		const written = await client.writeObject('a/b', 4, 1);
		expect(written).toEqual({kind: 'written', version: 5});
		const deleted = await client.deleteObject('a/b', 4);
		expect(deleted).toEqual({kind: 'conflict'});
		expect(receivedRequests).toEqual([
			'PUT /objects/a%2Fb?expected=4',
			'DELETE /objects/a%2Fb?expected=4',
		]);
	});

	it('continues a watch after failures and reports only increasing versions', async () => {
		const versions = [1, undefined, 3, 2, 4];
		const requestedVersions: Array<string | null> = [];
		const server = await startServer((request, response) => {
			const url = new URL(request.url ?? '/', 'http://store');
			requestedVersions.push(url.searchParams.get('after'));
			const version = versions.shift();
			if (version === undefined) {
				response.destroy();
				return;
			}

			response.end(JSON.stringify({name: 'x', version, value: version}));
		});
		const client = createClient(server);
		const receivedVersions: number[] = [];
		await new Promise<void>((resolve) => {
			const watch = client.watchObject('x', (object: StoredObject) => {
				receivedVersions.push(object.version);
				if (object.version === 4) {
					watch.close();
					resolve();
				}
			});
		});
		expect(receivedVersions).toEqual([1, 3, 4]);
		expect(requestedVersions.slice(0, 5)).toEqual(['0', '1', '1', '3', '3']);
	});

	it('reports the host list and stops polling once closed', async () => {
		let pollCount = 0;
		const server = await startServer((_request, response) => {
			pollCount++;
			if (pollCount === 1) {
				response.end(JSON.stringify({version: 1, hosts: []}));
			}
		});
		const client = createClient(server);
		const hosts = await new Promise<readonly EntryHost[]>((resolve) => {
			client.watchHosts(resolve);
		});
		expect(hosts).toEqual([]);
		await client.close();
		expect(pollCount <= 2).toEqual(true);
	});
});
