import {afterEach, beforeEach, describe, it} from 'node:test';
import {createManualClock, second} from '@parsleyvale/shared';
import {expect} from 'earl';
import {request} from 'undici';
import {
	createObjectStore,
	type ObjectStore,
	type ObjectStoreFaults,
} from '../src/index.js';

type Method = 'GET' | 'PUT' | 'DELETE';
type StoreResponse = {status: number; value: unknown};

const host = {
	name: 'entry-1',
	incarnation: 'first',
	region: 'tpe',
	failureDomain: 'a',
	callers: {address: '127.0.0.1', port: 1},
	peers: {address: '127.0.0.1', port: 2},
	leaving: false,
};

describe('object store', () => {
	let store: ObjectStore;

	beforeEach(async () => {
		store = await createObjectStore({address: '127.0.0.1', port: 0});
	});

	afterEach(async () => {
		await store.close();
	});

	async function send(
		method: Method,
		path: string,
		body?: unknown,
	): Promise<StoreResponse> {
		const {address, port} = store.endpoint;
		const response = await request(`http://${address}:${port}${path}`, {
			method,
			body: body === undefined ? null : JSON.stringify(body),
			reset: true,
		});
		const text = await response.body.text();
		return {
			status: response.statusCode,
			value: text === '' ? undefined : (JSON.parse(text) as unknown),
		};
	}

	async function getStatus(
		method: Method,
		path: string,
		body?: unknown,
	): Promise<number> {
		const {status} = await send(method, path, body);
		return status;
	}

	async function getValue(
		method: Method,
		path: string,
		body?: unknown,
	): Promise<unknown> {
		const {value} = await send(method, path, body);
		return value;
	}

	async function setFaults(faults: Partial<ObjectStoreFaults>): Promise<void> {
		await send('PUT', '/faults', faults);
	}

	async function waitForCall(kind: string): Promise<void> {
		for (;;) {
			const {value} = await send('GET', '/counts');
			if ((value as Record<string, number>)[kind]) {
				return;
			}
		}
	}

	it('updates an object only at its expected version', async () => {
		const path = '/objects/budget%2Fone';
		expect(await send('PUT', `${path}?expected=0`, {a: 1})).toEqual({
			status: 200,
			value: {version: 1},
		});
		expect(await send('PUT', `${path}?expected=0`, {a: 2})).toEqual({
			status: 409,
			value: {version: 1},
		});
		expect(await send('PUT', `${path}?expected=1`, {a: 3})).toEqual({
			status: 200,
			value: {version: 2},
		});
		expect(await send('GET', path)).toEqual({
			status: 200,
			value: {name: 'budget/one', version: 2, value: {a: 3}},
		});
	});

	it('never reuses a version number, even after a deletion', async () => {
		await send('PUT', '/objects/x?expected=0', 1);
		expect(await getStatus('DELETE', '/objects/x?expected=9')).toEqual(409);
		expect(await getStatus('DELETE', '/objects/x?expected=1')).toEqual(200);
		expect(await getStatus('GET', '/objects/x')).toEqual(404);
		const created = await send('PUT', '/objects/x?expected=0', 1);
		expect(created.value).toEqual({version: 3});
	});

	it('lists names and versions under a prefix', async () => {
		await send('PUT', '/objects/b%2F2?expected=0', 1);
		await send('PUT', '/objects/b%2F1?expected=0', 1);
		await send('PUT', '/objects/c?expected=0', 1);
		expect(await getValue('GET', '/objects?prefix=b%2F')).toEqual({
			objects: [
				{name: 'b/1', version: 1},
				{name: 'b/2', version: 1},
			],
		});
	});

	it('responds to a watch once the version is exceeded, or with 304 after the wait', async () => {
		const watch = send('GET', '/objects/x?after=1&wait=60000');
		await waitForCall('watch');
		await send('PUT', '/objects/x?expected=0', 'first');
		await send('PUT', '/objects/x?expected=1', 'second');
		const {status, value} = await watch;
		expect(status).toEqual(200);
		expect(value).toEqual({name: 'x', version: 2, value: 'second'});
		const expired = await send('GET', '/objects/x?after=2&wait=1');
		expect(expired.status).toEqual(304);
	});

	it('rejects values over a megabyte and bodies that are not JSON', async () => {
		const oversized = await send(
			'PUT',
			'/objects/x?expected=0',
			'x'.repeat(2 ** 20),
		);
		expect(oversized.status).toEqual(413);
		expect(await getStatus('PUT', '/objects/x?expected=0')).toEqual(400);
		expect(await getStatus('PUT', '/objects/x', 1)).toEqual(400);
		expect(await getStatus('GET', '/objects/x')).toEqual(404);
	});

	it('publishes a change of the host list only after the lag', async () => {
		await setFaults({mode: 'none', listLagMs: 60_000});
		await send('PUT', '/hosts/entry-1', host);
		const unpublished = await getValue('GET', '/hosts');
		expect(unpublished).toEqual({version: 0, hosts: []});
		const watch = getValue('GET', '/hosts?after=0&wait=60000');
		await waitForCall('watch-hosts');
		await setFaults({mode: 'none', listLagMs: 1});
		await send('PUT', '/hosts/entry-1', host);
		expect(await watch).toEqual({version: 2, hosts: [host]});
		await send('DELETE', '/hosts/entry-1');
		const afterRemoval = await getValue('GET', '/hosts?after=2&wait=60000');
		expect(afterRemoval).toEqual({version: 3, hosts: []});
	});

	it('rejects calls beyond its rate limits, which refill over time', async () => {
		const clock = createManualClock();
		await store.close();
		store = await createObjectStore({
			address: '127.0.0.1',
			port: 0,
			writesPerSecond: 1,
			readsPerSecond: 1,
			clock,
		});
		const write = '/objects/x?expected=0';
		expect(await getStatus('PUT', write, 1)).toEqual(200);
		expect(await getStatus('PUT', write, 1)).toEqual(429);
		const watch = '/objects/x?after=0&wait=1';
		expect(await getStatus('GET', watch)).toEqual(200);
		expect(await getStatus('GET', '/objects/x')).toEqual(429);
		clock.advance(second);
		expect(await getStatus('PUT', write, 1)).toEqual(409);
		expect(await getStatus('GET', '/objects/x')).toEqual(200);
	});

	it('applies an update without responding in fault mode lose-answers', async () => {
		await setFaults({mode: 'lose-answers', count: 1});
		await expect(send('PUT', '/objects/x?expected=0', 1)).toBeRejected();
		expect(await getValue('GET', '/objects/x')).toEqual({
			name: 'x',
			version: 1,
			value: 1,
		});
		expect(await getStatus('PUT', '/objects/x?expected=1', 2)).toEqual(200);
	});

	it('closes connections and open watches in fault mode down', async () => {
		const watch = send('GET', '/objects/x?after=0&wait=60000');
		await waitForCall('watch');
		await Promise.all([
			expect(watch).toBeRejected(),
			setFaults({mode: 'down'}),
		]);
		await expect(send('GET', '/objects/x')).toBeRejected();
		await setFaults({mode: 'none'});
		expect(await getStatus('GET', '/objects/x')).toEqual(404);
	});

	it('serves the state before the last update in fault mode stale-reads', async () => {
		await send('PUT', '/objects/x?expected=0', 1);
		await send('PUT', '/objects/x?expected=1', 2);
		await setFaults({mode: 'stale-reads'});
		const {value} = await send('GET', '/objects/x');
		expect(value).toEqual({name: 'x', version: 1, value: 1});
		expect(await getStatus('PUT', '/objects/x?expected=1', 3)).toEqual(409);
	});
});
