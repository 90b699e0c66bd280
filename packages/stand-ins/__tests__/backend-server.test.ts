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

type RequestOptions = Partial<
	Omit<Dispatcher.RequestOptions, 'origin' | 'path'>
>;

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
		options: RequestOptions = {},
	): Promise<Dispatcher.ResponseData> {
		const {address, port} = server.endpoint;
		return request(`http://${address}:${port}${path}`, {
			dispatcher: agent,
			method: 'GET',
			...options,
		});
	}

	async function getText(
		path: string,
		options?: RequestOptions,
	): Promise<string> {
		const {body} = await send(path, options);
		return body.text();
	}

	async function sendControl(
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
		return (await sendControl('GET', '/executions')) as Execution[];
	}

	async function waitForCount(
		count: keyof BackendCounts,
		minimum: number,
	): Promise<void> {
		for (;;) {
			const counts = (await sendControl('GET', '/counts')) as BackendCounts;
			if (counts[count] >= minimum) {
				return;
			}
		}
	}

	it('logs its executions', async () => {
		const headers = {
			'x-request-id': 'r1',
			'x-customer': 'hanlin',
			'idempotency-key': 'i1',
		};
		const {headers: responseHeaders} = await send('/entries?q=1', {
			method: 'POST',
			headers,
			body: 'hello',
		});
		expect(responseHeaders['x-request-id']).toEqual('r1');
		expect(responseHeaders['x-server']).toEqual('server-1');
		expect(responseHeaders['x-load']).toEqual('1');
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
		await sendControl('DELETE', '/executions');
		expect(await listExecutions()).toEqual([]);
	});

	it('serves HEAD, 304, a given size and a given status', async () => {
		const head = await send('/sized/1000', {method: 'HEAD'});
		expect(head.headers['content-length']).toEqual('1000');
		expect(await getText('/sized/200000')).toHaveLength(200_000);
		const notModified = await send('/sized/5', {
			headers: {'if-none-match': '"5"'},
		});
		expect(notModified.statusCode).toEqual(304);
		const status = await send('/status/418');
		expect(status.statusCode).toEqual(418);
	});

	it('echoes a body with its trailers after Expect: 100-continue', async () => {
		const {address, port} = server.endpoint;
		const clientRequest = sendRaw({
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
			clientRequest.on('continue', () => {
				clientRequest.addTrailers({'x-checksum': 'abc'});
				clientRequest.end('body');
			});
			clientRequest.on('response', (response) => {
				response.resume().on('end', () => {
					resolve(response.trailers);
				});
			});
			clientRequest.flushHeaders();
		});
		expect(trailers).toEqual({'x-checksum': 'abc'});
		const [execution] = await listExecutions();
		expect(execution?.bodyBytes).toEqual(4);
	});

	it('sheds requests beyond its queue as not executed', async () => {
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
		const settled = Promise.allSettled([first, second]);
		await agent.destroy();
		await settled;
		agent = new Agent();
	});

	it('cancels the execution when the client disconnects', async () => {
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

	it('aborts the execution at the deadline', async () => {
		const headers = {'x-deadline-ms': '5', 'x-request-id': 'r1'};
		const {statusCode, headers: responseHeaders} = await send('/slow/100000', {
			headers,
		});
		expect(statusCode).toEqual(504);
		expect(responseHeaders['x-not-run']).toEqual(undefined);
		const [execution] = await listExecutions();
		expect(execution?.outcome).toEqual('deadline-exceeded');
	});

	it('refuses new requests and completes running ones while draining', async () => {
		const running = send('/slow/50');
		await waitForCount('begun', 1);
		await sendControl('PUT', '/drain', {draining: true});
		const refused = await send('/x');
		expect(refused.headers['x-not-run']).toEqual('true');
		expect(refused.headers['x-draining']).toEqual('true');
		const probe = await send('/health');
		expect(probe.statusCode).toEqual(503);
		const {statusCode} = await running;
		expect(statusCode).toEqual(200);
		expect(await listExecutions()).toHaveLength(1);
	});

	it('reports an overridden or a delayed load', async () => {
		await sendControl('PUT', '/load-report', {value: 77});
		const overridden = await send('/x');
		expect(overridden.headers['x-load']).toEqual('77');
		await sendControl('PUT', '/load-report', {lagMs: 60_000});
		const delayed = await send('/x');
		expect(delayed.headers['x-load']).toEqual('0');
	});

	it('accepts no connections beyond its limit', async () => {
		await restart({connections: 1});
		const {address, port} = server.endpoint;
		const first = connect(port, address);
		await waitForCount('openConnections', 1);
		const second = connect(port, address);
		const isClosed = await new Promise((resolve) => {
			second.on('error', () => {
				resolve(true);
			});
			second.on('close', () => {
				resolve(true);
			});
		});
		expect(isClosed).toEqual(true);
		first.destroy();
	});

	it('has a longer service time while cold', async () => {
		await restart({serviceTime: 1, coldDuration: 1e9, coldFactor: 1e9});
		const headers = {'x-deadline-ms': '50'};
		const {statusCode} = await send('/x', {headers});
		expect(statusCode).toEqual(504);
	});

	it('truncates responses in fault modes cut and false-length', async () => {
		for (const mode of ['cut', 'false-length']) {
			await sendControl('PUT', '/faults', {mode, count: 1});
			await expect(getText('/x')).toBeRejected();
		}

		const {statusCode} = await send('/x');
		expect(statusCode).toEqual(200);
	});

	it('executes a request without responding in fault mode die-after-body', async () => {
		await sendControl('PUT', '/faults', {mode: 'die-after-body', count: 1});
		const body = 'purchase';
		await expect(send('/x', {method: 'POST', body})).toBeRejected();
		const [execution] = await listExecutions();
		expect(execution?.bodyBytes).toEqual(8);
		expect(execution?.outcome).toEqual('faulty');
	});

	it('sends a wrong request id in fault mode crossed, and none in no-echo', async () => {
		const headers = {'x-request-id': 'r1'};
		await sendControl('PUT', '/faults', {mode: 'crossed', count: 1});
		const crossed = await send('/x', {headers});
		expect(crossed.headers['x-request-id']).toEqual('another-request');
		await sendControl('PUT', '/faults', {mode: 'no-echo', count: 1});
		const withoutEcho = await send('/x', {headers});
		expect(withoutEcho.headers['x-request-id']).toEqual(undefined);
	});

	it('sends unsolicited responses in fault modes extra and double', async () => {
		for (const [mode, id] of [
			['extra', 'another-request'],
			['double', 'r1'],
		] as const) {
			await sendControl('PUT', '/faults', {mode, count: 1});
			const bytes = await readTwoResponses();
			expect(bytes.split('HTTP/1.1 200').length).toEqual(3);
			expect(bytes.lastIndexOf(`x-request-id: ${id}`)).toBeGreaterThan(
				bytes.lastIndexOf('HTTP/1.1 200'),
			);
		}
	});

	it('responds after the deadline in fault mode late, and never in hang', async () => {
		const headers = {'x-deadline-ms': '1'};
		await sendControl('PUT', '/faults', {mode: 'late', delayMs: 5, count: 1});
		const late = await send('/x', {headers});
		expect(late.statusCode).toEqual(200);
		await sendControl('PUT', '/faults', {mode: 'hang', count: 1});
		const abort = new AbortController();
		const call = send('/x', {headers, signal: abort.signal});
		await waitForCount('begun', 2);
		abort.abort();
		await expect(call).toBeRejected();
	});

	it('refuses without executing in fault mode refuse', async () => {
		await sendControl('PUT', '/faults', {mode: 'refuse', count: 1});
		const refused = await send('/x');
		expect(refused.headers['x-not-run']).toEqual('true');
		expect(await listExecutions()).toEqual([]);
	});

	async function readTwoResponses(): Promise<string> {
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
