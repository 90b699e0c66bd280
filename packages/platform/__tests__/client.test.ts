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

type Closing = {close(): unknown};

/** Never answers. */
function serveNothing(): undefined {
	return undefined;
}

describe('platform client', () => {
	const opened: Closing[] = [];

	afterEach(async () => {
		for (const each of opened.splice(0).reverse()) {
			await each.close();
		}
	});

	async function startStore(listener: RequestListener): Promise<Server> {
		const server = createServer(listener);
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		opened.push({
			close() {
				server.closeAllConnections();
				server.close();
			},
		});
		return server;
	}

	function createClient(server: Server, callTimeout = 2000): PlatformClient {
		const {port} = server.address() as AddressInfo;
		const client = createPlatformClient({
			url: `http://127.0.0.1:${port}`,
			clock: createManualClock(7),
			random: () => 0,
			callTimeout,
		});
		opened.push(client);
		return client;
	}

	async function createClientOf(
		status: number,
		body: string,
	): Promise<PlatformClient> {
		const server = await startStore((_request, response) => {
			response.statusCode = status;
			response.end(body);
		});
		return createClient(server);
	}

	it('tells found, missing and failed reads apart', async () => {
		const object = {name: 'x', version: 3, value: {a: 1}};
		const found = await createClientOf(200, JSON.stringify(object));
		expect(await found.readObject('x')).toEqual({kind: 'found', object});
		expect(found.answeredAt).toEqual(7);
		const missing = await createClientOf(404, '{}');
		expect(await missing.readObject('x')).toEqual({kind: 'missing'});
		const malformed = await createClientOf(200, '{"version":"x"}');
		expect(await malformed.readObject('x')).toEqual({kind: 'failed'});
	});

	it('says that nothing was written only where that is sure', async () => {
		for (const status of [429, 413]) {
			const client = await createClientOf(status, '{}');
			expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'failed'});
		}

		for (const status of [500, 503, 400, 200]) {
			const client = await createClientOf(status, '{}');
			expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'unknown'});
		}
	});

	it('fails a write when the connection is refused', async () => {
		const server = await startStore(serveNothing);
		const client = createClient(server);
		await new Promise((resolve) => {
			server.close(resolve);
		});
		expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'failed'});
		expect(client.answeredAt).toEqual(undefined);
	});

	it('does not know a write whose answer was lost, and sends it once', async () => {
		let writes = 0;
		const server = await startStore((request, response) => {
			request.resume().on('end', () => {
				writes++;
				response.destroy();
			});
		});
		const client = createClient(server);
		expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'unknown'});
		expect(writes).toEqual(1);
	});

	it('does not know a write that was not answered in time', async () => {
		const server = await startStore(serveNothing);
		const client = createClient(server, 20);
		expect(await client.writeObject('x', 0, 1)).toEqual({kind: 'unknown'});
		expect(await client.deleteObject('x', 1)).toEqual({kind: 'unknown'});
		expect(await client.readObject('x')).toEqual({kind: 'failed'});
	});

	it('writes and deletes at the expected version', async () => {
		const seen: string[] = [];
		const server = await startStore((request, response) => {
			seen.push(`${request.method} ${request.url}`);
			response.statusCode = request.method === 'PUT' ? 200 : 409;
			response.end('{"version":5}');
		});
		const client = createClient(server);
		const written = await client.writeObject('a/b', 4, 1);
		expect(written).toEqual({kind: 'written', version: 5});
		const deleted = await client.deleteObject('a/b', 4);
		expect(deleted).toEqual({kind: 'conflict'});
		expect(seen).toEqual([
			'PUT /objects/a%2Fb?expected=4',
			'DELETE /objects/a%2Fb?expected=4',
		]);
	});

	it('renews a watch past failures and tells of rising versions alone', async () => {
		const versions = [1, undefined, 3, 2, 4];
		const afters: Array<string | null> = [];
		const server = await startStore((request, response) => {
			const url = new URL(request.url ?? '/', 'http://store');
			afters.push(url.searchParams.get('after'));
			const version = versions.shift();
			if (version === undefined) {
				response.destroy();
				return;
			}

			response.end(JSON.stringify({name: 'x', version, value: version}));
		});
		const client = createClient(server);
		const seen: number[] = [];
		await new Promise<void>((resolve) => {
			const watch = client.watchObject('x', (object: StoredObject) => {
				seen.push(object.version);
				if (object.version === 4) {
					watch.close();
					resolve();
				}
			});
		});
		expect(seen).toEqual([1, 3, 4]);
		expect(afters.slice(0, 5)).toEqual(['0', '1', '1', '3', '3']);
	});

	it('tells of the host list and stays silent once closed', async () => {
		let polls = 0;
		const server = await startStore((_request, response) => {
			polls++;
			if (polls === 1) {
				response.end(JSON.stringify({version: 1, hosts: []}));
			}
		});
		const client = createClient(server);
		const hosts = await new Promise<readonly EntryHost[]>((resolve) => {
			client.watchHosts(resolve);
		});
		expect(hosts).toEqual([]);
		await client.close();
		expect(polls <= 2).toEqual(true);
	});
});
