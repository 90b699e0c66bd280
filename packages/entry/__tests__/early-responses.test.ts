import {Buffer} from 'node:buffer';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createManualClock} from '@parsleyvale/shared';
import {expect} from 'earl';
import {ServerConnection} from '../src/server-connection.js';
import {RecordingExchange} from './support/recording-exchange.js';

const testTimeoutMs = 8000;
const part = Buffer.alloc(64 * 1024, 'x');
/** More than the operating system takes from a process without a reader. */
const bodyBytes = 512 * part.length;
const head = 'HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n\r\npart of a body';
const tries = 20;

let server: Server | undefined;

afterEach(() => {
	server?.close();
	server = undefined;
});

/** Starts a server that handles the first bytes of each connection. */
async function listen(onData: (socket: Socket) => void): Promise<number> {
	server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			onData(socket);
		});
	});
	await new Promise<void>((resolve) => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
}

/** Uploads a body in parts, or as a whole, and returns what became of the request. */
async function upload(port: number, isWhole: boolean) {
	const connection = new ServerConnection({
		address: '127.0.0.1',
		port,
		clock: createManualClock(0),
		requestIdHeader: 'x-id',
		onIdle: () => undefined,
		onClosed: () => undefined,
	});
	const exchange = new RecordingExchange('1');
	const requestHead = Buffer.from(
		`POST / HTTP/1.1\r\nhost: h\r\nx-id: 1\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
	);
	const parts = Array.from({length: bodyBytes / part.length}, () => part);
	if (isWhole) {
		connection.send(exchange, [requestHead, ...parts], true);
	} else {
		connection.send(exchange, requestHead, false);
		for (const each of parts) {
			if (!connection.write(each)) {
				await new Promise<void>((resolve) => {
					connection.onDrain(resolve);
				});
			}
		}

		connection.endBody();
	}

	const {kind} = await exchange.result;
	connection.close();
	return kind;
}

describe('a response without a length, sent before the upload was read', () => {
	const ends: Readonly<Record<string, (socket: Socket) => void>> = {
		'a reset at once'(socket) {
			socket.write(head, () => {
				socket.resetAndDestroy();
			});
		},
		'a reset a little later'(socket) {
			socket.pause();
			socket.write(head);
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 5);
		},
		'a close of the connection'(socket) {
			socket.pause();
			socket.end(head);
			setTimeout(() => {
				socket.destroy();
			}, 5);
		},
	};
	for (const [name, end] of Object.entries(ends)) {
		for (const isWhole of [true, false]) {
			const manner = isWhole ? 'as a whole' : 'in parts';
			it(
				`is incomplete at ${name} (body sent ${manner})`,
				{timeout: testTimeoutMs},
				async () => {
					const port = await listen(end);
					const results = new Set<string>();
					for (let count = 0; count < tries; count++) {
						results.add(await upload(port, isWhole));
						await wait(1);
					}

					expect([...results]).toEqual(['failed']);
				},
			);
		}
	}
});

describe('a response whose status is no status', () => {
	for (const status of ['000', '001', '099']) {
		for (const framing of ['content-length: 5', 'x-none: 1']) {
			it(
				`(${status}, ${framing}) fails the request at once`,
				{timeout: testTimeoutMs},
				async () => {
					const port = await listen((socket) => {
						socket.write(
							`HTTP/1.1 ${status} OK\r\nx-id: 1\r\nx-seal: s\r\n${framing}\r\n\r\nwhole`,
						);
					});
					expect(await upload(port, true)).toEqual('failed');
				},
			);
		}
	}

	it(
		'(1xx with a body) does not become part of the response behind it',
		{timeout: testTimeoutMs},
		async () => {
			const port = await listen((socket) => {
				socket.write(
					'HTTP/1.1 103 Early Hints\r\ncontent-length: 5\r\n\r\nother' + head,
				);
			});
			expect(await upload(port, true)).toEqual('failed');
		},
	);
});
