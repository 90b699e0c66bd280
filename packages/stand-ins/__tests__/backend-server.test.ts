import {createHash} from 'node:crypto';
import {request as sendRaw} from 'node:http';
import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {Agent, request, type Dispatcher} from 'undici';
import {
	createBackendServer,
	type BackendCounts,
	type BackendServer,
	type BackendServerOptions,
	type Execution,
} from '../src/index.js';

type Options = Partial<Omit<Dispatcher.RequestOptions, 'origin' | 'path'>>;

describe('backend server', () => {
	let server: BackendServer;
	let agent: Agent;

	beforeEach(async () => {
		agent = new Agent();
		await start({});
	});

	afterEach(async () => {
		await agent.destroy();
		await server.close();
	});

	async function start(options: Partial<BackendServerOptions>): Promise<void> {
		server = await createBackendServer({
			name: 'server-1',
			address: '127.0.0.1',
			port: 0,
			serviceTime: 0,
			connectCost: 0,
			...options,
		});
	}

	async function restart(
		options: Partial<BackendServerOptions>,
	): Promise<void> {
		await server.close();
		await start(options);
	}

	async function send(
		path: string,
		options: Options = {},
	): Promise<Dispatcher.ResponseData> {
		const {address, port} = server.endpoint;
		return request(`http://${address}:${port}${path}`, {
			dispatcher: agent,
			method: 'GET',
			...options,
		});
	}

	async function getText(path: string, options?: Options): Promise<string> {
		const {body} = await send(path, options);
		return body.text();
	}

	async function control(
		method: 'GET' | 'PUT' | 'DELETE',
		path: string,
		value?: unknown,
	): Promise<unknown> {
		const {address, port} = server.controlEndpoint;
		const {body} = await request(`http://${address}:${port}${path}`, {
			dispatcher: agent,
			method,
			body: value === undefined ? null : JSON.stringify(value),
		});
		return body.json();
	}

	async function listExecutions(): Promise<Execution[]> {
		return (await control('GET', '/executions')) as Execution[];
	}

	async function waitForCount(
		count: keyof BackendCounts,
		least: number,
	): Promise<void> {
		for (;;) {
			const counts = (await control('GET', '/counts')) as BackendCounts;
			if (counts[count] >= least) {
				return;
			}
		}
	}

	it('records what it runs', async () => {
		const headers = {
			'x-request-id': 'r1',
			'x-customer': 'hanlin',
			'idempotency-key': 'i1',
		};
		const {headers: answered} = await send('/entries?q=1', {
			method: 'POST',
			headers,
			body: 'hello',
		});
		expect(answered['x-request-id']).toEqual('r1');
		expect(answered['x-server']).toEqual('server-1');
		expect(answered['x-load']).toEqual('1');
		const [execution] = await listExecutions();
		expect(execution?.requestId).toEqual('r1');
		expect(execution?.customer).toEqual('hanlin');
		expect(execution?.idempotencyKey).toEqual('i1');
		expect(execution?.target).toEqual('/entries?q=1');
		expect(execution?.outcome).toEqual('completed');
		expect(execution?.bodyBytes).toEqual(5);
		expect(execution?.bodySha256).toEqual(
			createHash('sha256').update('hello').digest('hex'),
		);
		expect(execution?.headers.some(({name}) => name === 'x-customer')).toEqual(
			true,
		);
		await control('DELETE', '/executions');
		expect(await listExecutions()).toEqual([]);
	});

	it('answers HEAD, 304 and a size', async () => {
		const head = await send('/sized/1000', {method: 'HEAD'});
		expect(head.headers['content-length']).toEqual('1000');
		expect(await getText('/sized/200000')).toHaveLength(200_000);
		const fresh = await send('/sized/5', {headers: {'if-none-match': '"5"'}});
		expect(fresh.statusCode).toEqual(304);
		const status = await send('/status/418');
		expect(status.statusCode).toEqual(418);
	});

	it('echoes a body with its trailers after Expect: 100-continue', async () => {
		const {address, port} = server.endpoint;
		const call = sendRaw({
			host: address,
			port,
			path: '/echo',
			method: 'POST',
			headers: {
				expect: '100-continue',
				trailer: 'x-checksum',
				'transfer-encoding': 'chunked',
			},
		});
		const trailers = await new Promise<unknown>((resolve) => {
			call.on('continue', () => {
				call.addTrailers({'x-checksum': 'abc'});
				call.end('body');
			});
			call.on('response', (response) => {
				response.resume().on('end', () => {
					resolve(response.trailers);
				});
			});
			call.flushHeaders();
		});
		expect(trailers).toEqual({'x-checksum': 'abc'});
		const [execution] = await listExecutions();
		expect(execution?.bodyBytes).toEqual(4);
	});

	it('queues briefly, then sheds as not run', async () => {
		await restart({slots: 1, queueLength: 1});
		const first = send('/slow/100000');
		await waitForCount('begun', 1);
		const second = send('/slow/0');
		await waitForCount('maximumInFlight', 2);
		const third = await send('/x', {headers: {'x-request-id': 'r3'}});
		expect(third.statusCode).toEqual(503);
		expect(third.headers['x-not-run']).toEqual('true');
		expect(third.headers['x-request-id']).toEqual('r3');
		expect(await listExecutions()).toHaveLength(1);
		const cut = Promise.allSettled([first, second]);
		await agent.destroy();
		await cut;
		agent = new Agent();
	});

	it('stops the work of a caller that goes away', async () => {
		await restart({slots: 1, queueLength: 0});
		const abort = new AbortController();
		const call = send('/slow/100000', {signal: abort.signal});
		await waitForCount('begun', 1);
		abort.abort();
		await expect(call).toBeRejected();
		await waitForCount('cancelled', 1);
		const [execution] = await listExecutions();
		expect(execution?.outcome).toEqual('cancelled');
		const next = await send('/slow/0');
		expect(next.statusCode).toEqual(200);
	});

	it('stops the work at the deadline', async () => {
		const headers = {'x-deadline-ms': '5', 'x-request-id': 'r1'};
		const {statusCode, headers: answered} = await send('/slow/100000', {
			headers,
		});
		expect(statusCode).toEqual(504);
		expect(answered['x-not-run']).toEqual(undefined);
		const [execution] = await listExecutions();
		expect(execution?.outcome).toEqual('deadline-exceeded');
	});

	it('begins nothing while it drains and finishes what runs', async () => {
		const running = send('/slow/50');
		await waitForCount('begun', 1);
		await control('PUT', '/drain', {draining: true});
		const refused = await send('/x');
		expect(refused.headers['x-not-run']).toEqual('true');
		expect(refused.headers['x-draining']).toEqual('true');
		const probe = await send('/health');
		expect(probe.statusCode).toEqual(503);
		const {statusCode} = await running;
		expect(statusCode).toEqual(200);
		expect(await listExecutions()).toHaveLength(1);
	});

	it('reports a load that lags or lies', async () => {
		await control('PUT', '/load-report', {value: 77});
		const lying = await send('/x');
		expect(lying.headers['x-load']).toEqual('77');
		await control('PUT', '/load-report', {lagMs: 60_000});
		const lagging = await send('/x');
		expect(lagging.headers['x-load']).toEqual('0');
	});

	it('takes no more connections than its limit', async () => {
		await restart({connections: 1});
		const {address, port} = server.endpoint;
		const first = connect(port, address);
		await waitForCount('openConnections', 1);
		const second = connect(port, address);
		const closed = await new Promise((resolve) => {
			second.on('error', () => {
				resolve(true);
			});
			second.on('close', () => {
				resolve(true);
			});
		});
		expect(closed).toEqual(true);
		first.destroy();
	});

	it('is slower while it is cold', async () => {
		await restart({serviceTime: 1, coldSpan: 1e9, coldFactor: 1e9});
		const headers = {'x-deadline-ms': '50'};
		const {statusCode} = await send('/x', {headers});
		expect(statusCode).toEqual(504);
	});

	it('cuts answers on command', async () => {
		for (const mode of ['cut', 'false-length']) {
			await control('PUT', '/faults', {mode, count: 1});
			await expect(getText('/x')).toBeRejected();
		}

		const {statusCode} = await send('/x');
		expect(statusCode).toEqual(200);
	});

	it('runs a request and loses its answer on command', async () => {
		await control('PUT', '/faults', {mode: 'die-after-body', count: 1});
		const body = 'purchase';
		await expect(send('/x', {method: 'POST', body})).toBeRejected();
		const [execution] = await listExecutions();
		expect(execution?.bodyBytes).toEqual(8);
		expect(execution?.outcome).toEqual('faulty');
	});

	it('answers for another request on command', async () => {
		const headers = {'x-request-id': 'r1'};
		await control('PUT', '/faults', {mode: 'crossed', count: 1});
		const crossed = await send('/x', {headers});
		expect(crossed.headers['x-request-id']).toEqual('another-request');
		await control('PUT', '/faults', {mode: 'no-echo', count: 1});
		const silent = await send('/x', {headers});
		expect(silent.headers['x-request-id']).toEqual(undefined);
	});

	it('sends answers that nobody asked for on command', async () => {
		for (const [mode, id] of [
			['extra', 'another-request'],
			['double', 'r1'],
		] as const) {
			await control('PUT', '/faults', {mode, count: 1});
			const bytes = await readTwoAnswers();
			expect(bytes.split('HTTP/1.1 200').length).toEqual(3);
			expect(bytes.lastIndexOf(`x-request-id: ${id}`)).toBeGreaterThan(
				bytes.lastIndexOf('HTTP/1.1 200'),
			);
		}
	});

	it('answers past the deadline, or never, on command', async () => {
		const headers = {'x-deadline-ms': '1'};
		await control('PUT', '/faults', {mode: 'late', delayMs: 5, count: 1});
		const late = await send('/x', {headers});
		expect(late.statusCode).toEqual(200);
		await control('PUT', '/faults', {mode: 'hang', count: 1});
		const abort = new AbortController();
		const call = send('/x', {headers, signal: abort.signal});
		await waitForCount('begun', 2);
		abort.abort();
		await expect(call).toBeRejected();
	});

	it('refuses as not run on command', async () => {
		await control('PUT', '/faults', {mode: 'refuse', count: 1});
		const refused = await send('/x');
		expect(refused.headers['x-not-run']).toEqual('true');
		expect(await listExecutions()).toEqual([]);
	});

	async function readTwoAnswers(): Promise<string> {
		const {address, port} = server.endpoint;
		const socket = connect(port, address);
		socket.write('GET /x HTTP/1.1\r\nHost: s\r\nx-request-id: r1\r\n\r\n');
		let bytes = '';
		for await (const chunk of socket as AsyncIterable<Uint8Array>) {
			bytes += new TextDecoder().decode(chunk);
			if (bytes.split('"requestId"').length === 3) {
				break;
			}
		}

		socket.destroy();
		return bytes;
	}
});
