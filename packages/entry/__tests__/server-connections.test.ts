import {Buffer} from 'node:buffer';
import {afterEach, describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import type {BackendServer} from '@parsleyvale/steering';
import {expect} from 'earl';
import {ServerConnections} from '../src/server-connections.js';
import {ProbeExchange} from './support/probe-exchange.js';
import {
	formatAnswer,
	RawServer,
	type RawRequest,
} from './support/raw-server.js';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

async function createFixture(
	onRequest: (request: RawRequest, count: number) => void,
) {
	const server = await new RawServer(onRequest).listen();
	const clock = createManualClock(0);
	const connections = new ServerConnections(clock, 'x-id');
	closers.push(() => {
		connections.close();
		server.close();
	});
	const target: BackendServer = {
		id: 'server-1',
		service: 'desk',
		address: '127.0.0.1',
		port: server.port,
		failureDomain: 'a',
		region: 'east',
		slots: 4,
		isDraining: false,
		coldRemainingMs: 0,
		incarnation: '1',
	};
	const send = async (id: string, isIdempotent = true) => {
		const exchange = new ProbeExchange(id);
		const head = `GET / HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\n\r\n`;
		connections
			.take(target, isIdempotent)
			.send(exchange, Buffer.from(head), true);
		return exchange.ended;
	};

	return {server, clock, connections, target, send};
}

const whole = {kind: 'answered', status: 200, body: 'whole'} as const;
const unknown = {kind: 'failed', wasSent: true} as const;

describe('an answer', () => {
	it('is taken whole, and its connection used again', async () => {
		const {server, send} = await createFixture(({socket, header}) => {
			socket.write(formatAnswer(header('x-id')));
		});
		expect(await send('1')).toEqual(whole);
		expect(await send('2')).toEqual(whole);
		expect(server.connections).toEqual(1);
	});

	it('that comes late for another request is dropped; the own one is taken', async () => {
		const {send} = await createFixture(({socket, header}, count) => {
			const late = count === 2 ? formatAnswer('1', 'other') : '';
			socket.write(late + formatAnswer(header('x-id')));
		});
		expect(await send('1')).toEqual(whole);
		expect(await send('2')).toEqual(whole);
	});

	it('is not followed on its connection when a second one came with it', async () => {
		const {server, send} = await createFixture(({socket, header}) => {
			const answer = formatAnswer(header('x-id'));
			socket.write(answer + answer);
		});
		expect(await send('1')).toEqual(whole);
		expect(await send('2')).toEqual(whole);
		expect(server.connections).toEqual(2);
	});

	it('that is cut short is not whole', async () => {
		const {send} = await createFixture(({socket, header}) => {
			socket.end(formatAnswer(header('x-id')).slice(0, -2));
		});
		expect(await send('1')).toEqual(unknown);
	});

	it('without a length is whole at the orderly end of its connection', async () => {
		const {send} = await createFixture(({socket, header}) => {
			socket.end(`HTTP/1.1 200 OK\r\nx-id: ${header('x-id')}\r\n\r\nwhole`);
		});
		expect(await send('1')).toEqual(whole);
	});

	it('without a length is not whole when its connection is reset', async () => {
		// A reset right behind the data is what Node takes for an orderly end.
		const {send} = await createFixture(({socket, header}) => {
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${header('x-id')}\r\n\r\nwho`);
			socket.resetAndDestroy();
		});
		for (const id of ['1', '2', '3', '4', '5']) {
			expect(await send(id)).toEqual(unknown);
		}
	});

	it('that is not HTTP is not taken', async () => {
		const {send} = await createFixture(({socket}) => {
			socket.write('garbage\r\n\r\n');
		});
		expect(await send('1')).toEqual(unknown);
	});

	it('in chunks is taken whole, an unfinished one not', async () => {
		const {send} = await createFixture(({socket, header}, count) => {
			const head = `HTTP/1.1 200 OK\r\nx-id: ${header('x-id')}\r\ntransfer-encoding: chunked\r\n\r\n`;
			const rest = count === 1 ? '0\r\n\r\n' : '';
			socket.end(`${head}5\r\nwhole\r\n${rest}`);
		});
		expect(await send('1')).toEqual(whole);
		expect(await send('2')).toEqual(unknown);
	});

	it('of a closing server is taken, and its connection left', async () => {
		const {server, send} = await createFixture(({socket, header}) => {
			const answer = formatAnswer(header('x-id'));
			socket.write(answer.replace('\r\n', '\r\nconnection: close\r\n'));
		});
		expect(await send('1')).toEqual(whole);
		expect(await send('2')).toEqual(whole);
		expect(server.connections).toEqual(2);
	});
});

describe('a request', () => {
	it('that reached no server was not sent', async () => {
		const {server, send} = await createFixture(() => undefined);
		server.close();
		expect(await send('1')).toEqual({kind: 'failed', wasSent: false});
	});

	it('whose connection is reset may have run', async () => {
		const {send} = await createFixture(({socket}) => {
			socket.resetAndDestroy();
		});
		expect(await send('1')).toEqual(unknown);
	});

	it('that may run once does not go on a connection that has rested', async () => {
		const {server, clock, send} = await createFixture(({socket, header}) => {
			socket.write(formatAnswer(header('x-id')));
		});
		await send('1', false);
		clock.advance(1000);
		await send('2', false);
		expect(server.connections).toEqual(2);
		clock.advance(1000);
		await send('3', true);
		expect(server.connections).toEqual(2);
	});

	it('does not go on a connection that its server is about to close', async () => {
		const {server, clock, send} = await createFixture(({socket, header}) => {
			const answer = formatAnswer(header('x-id'));
			socket.write(answer.replace('\r\n', '\r\nkeep-alive: timeout=3\r\n'));
		});
		await send('1');
		clock.advance(2500);
		await send('2');
		expect(server.connections).toEqual(2);
	});
});
