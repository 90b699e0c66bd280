import {Buffer} from 'node:buffer';
import {validateHeaderName, validateHeaderValue} from 'node:http';
import {afterEach, describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import type {BackendServer} from '@parsleyvale/steering';
import {expect} from 'earl';
import {ServerConnections} from '../src/server-connections.js';
import {RecordingExchange} from './support/recording-exchange.js';
import {
	formatResponse,
	RawServer,
	type RawRequest,
} from './support/raw-server.js';

const cleanups: Array<() => void> = [];

afterEach(() => {
	for (const cleanUp of cleanups.splice(0)) {
		cleanUp();
	}
});

async function createFixture(
	onRequest: (request: RawRequest, requestNumber: number) => void,
) {
	const server = await new RawServer(onRequest).listen();
	const clock = createManualClock(0);
	const connections = new ServerConnections(clock, 'x-id');
	cleanups.push(() => {
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
	const startExchange = (id: string, isIdempotent = true) => {
		const exchange = new RecordingExchange(id);
		const head = `GET / HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\n\r\n`;
		const connection = connections.acquire(target, isIdempotent);
		connection.send(exchange, Buffer.from(head), true);
		return {exchange, connection};
	};

	const send = async (id: string, isIdempotent = true) =>
		startExchange(id, isIdempotent).exchange.result;
	return {server, clock, connections, target, startExchange, send};
}

const completeResponse = {
	kind: 'answered',
	status: 200,
	body: 'whole',
} as const;
const failedAfterSend = {kind: 'failed', wasSent: true} as const;

describe('a response', () => {
	it('is received completely, and its connection reused', async () => {
		const {server, send} = await createFixture(({socket, header}) => {
			socket.write(formatResponse(header('x-id')));
		});
		expect(await send('1')).toEqual(completeResponse);
		expect(await send('2')).toEqual(completeResponse);
		expect(server.connectionCount).toEqual(1);
	});

	it('to an earlier request is discarded, and the matching one accepted', async () => {
		const {send} = await createFixture(({socket, header}, requestNumber) => {
			const lateResponse =
				requestNumber === 2 ? formatResponse('1', 'other') : '';
			socket.write(lateResponse + formatResponse(header('x-id')));
		});
		expect(await send('1')).toEqual(completeResponse);
		expect(await send('2')).toEqual(completeResponse);
	});

	it('followed by an unsolicited one prevents reuse of the connection', async () => {
		const {server, send} = await createFixture(({socket, header}) => {
			const response = formatResponse(header('x-id'));
			socket.write(response + response);
		});
		expect(await send('1')).toEqual(completeResponse);
		expect(await send('2')).toEqual(completeResponse);
		expect(server.connectionCount).toEqual(2);
	});

	it('that is truncated fails the request', async () => {
		const {send} = await createFixture(({socket, header}) => {
			socket.end(formatResponse(header('x-id')).slice(0, -2));
		});
		expect(await send('1')).toEqual(failedAfterSend);
	});

	it('without a length is complete at the orderly end of its connection', async () => {
		const {send} = await createFixture(({socket, header}) => {
			socket.end(`HTTP/1.1 200 OK\r\nx-id: ${header('x-id')}\r\n\r\nwhole`);
		});
		expect(await send('1')).toEqual(completeResponse);
	});

	it('without a length is incomplete when its connection is reset', async () => {
		// Node reports a reset that immediately follows data as an orderly end.
		const {send} = await createFixture(({socket, header}) => {
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${header('x-id')}\r\n\r\nwho`);
			socket.resetAndDestroy();
		});
		for (const id of ['1', '2', '3', '4', '5']) {
			expect(await send(id)).toEqual(failedAfterSend);
		}
	});

	it('that is not HTTP fails the request', async () => {
		const {send} = await createFixture(({socket}) => {
			socket.write('garbage\r\n\r\n');
		});
		expect(await send('1')).toEqual(failedAfterSend);
	});

	it('with chunked encoding is complete only with its last chunk', async () => {
		const {send} = await createFixture(({socket, header}, requestNumber) => {
			const head = `HTTP/1.1 200 OK\r\nx-id: ${header('x-id')}\r\ntransfer-encoding: chunked\r\n\r\n`;
			const lastChunk = requestNumber === 1 ? '0\r\n\r\n' : '';
			socket.end(`${head}5\r\nwhole\r\n${lastChunk}`);
		});
		expect(await send('1')).toEqual(completeResponse);
		expect(await send('2')).toEqual(failedAfterSend);
	});

	it('with "connection: close" is accepted, and its connection not reused', async () => {
		const {server, send} = await createFixture(({socket, header}) => {
			const response = formatResponse(header('x-id'));
			socket.write(response.replace('\r\n', '\r\nconnection: close\r\n'));
		});
		expect(await send('1')).toEqual(completeResponse);
		expect(await send('2')).toEqual(completeResponse);
		expect(server.connectionCount).toEqual(2);
	});
});

/** Responses to request 1 that a faulty server sends once more, or to no request. */
const unsolicitedResponses = {
	'a refusal without an id':
		'HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n' +
		'date: Sat, 05 Dec 2026 10:00:00 GMT\r\ncontent-length: 0\r\n\r\n',
	'a refusal of the earlier request':
		'HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nx-id: 1\r\n' +
		'content-length: 2\r\n\r\nno',
	'a second copy of the earlier response': formatResponse('1'),
	'an interim response': 'HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n',
	'bytes that are not HTTP': 'garbage\r\n\r\n',
} as const;
const ownFailure = {kind: 'answered', status: 500, body: 'failed'} as const;

function formatFailure(id: string): string {
	return formatResponse(id, 'failed').replace('200 OK', '500 Failed');
}

/**
 * The parser of a connection lives as long as the connection. If it has read the
 * beginning of another head when the next request is sent, the status of that head
 * would be combined with the id in the head of the next response.
 */
describe('the beginning of an unsolicited response', {timeout: 60_000}, () => {
	for (const [name, unsolicited] of Object.entries(unsolicitedResponses)) {
		it(`(${name}) behind a response never becomes part of the next one`, async () => {
			for (let length = 1; length <= unsolicited.length; length++) {
				const {server, send} = await createFixture(
					({socket, header}, requestNumber) => {
						const id = header('x-id');
						socket.write(
							requestNumber === 1
								? formatResponse(id) + unsolicited.slice(0, length)
								: formatFailure(id),
						);
					},
				);
				expect(await send('1')).toEqual(completeResponse);
				expect(await send('2')).toEqual(ownFailure);
				expect(server.connectionCount).toEqual(2);
				for (const cleanUp of cleanups.splice(0)) {
					cleanUp();
				}
			}
		});

		it(`(${name}) in front of a response never becomes part of it`, async () => {
			for (let length = 1; length <= unsolicited.length; length++) {
				const {send} = await createFixture(
					({socket, header}, requestNumber) => {
						const id = header('x-id');
						if (requestNumber === 1) {
							socket.write(formatResponse(id));
						} else {
							socket.end(unsolicited.slice(0, length) + formatFailure(id));
						}
					},
				);
				expect(await send('1')).toEqual(completeResponse);
				const result = await send('2');
				expect(result).toEqual(
					result.kind === 'answered' ? ownFailure : failedAfterSend,
				);
				for (const cleanUp of cleanups.splice(0)) {
					cleanUp();
				}
			}
		});
	}
});

/** Heads of responses; a server may stop anywhere before their end. */
const heads = {
	'with a length': (id: string) =>
		`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: 5\r\n\r\n`,
	'with chunked encoding': (id: string) =>
		`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`,
	'without a length': (id: string) =>
		`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nconnection: close\r\n\r\n`,
	'behind an interim response': (id: string) =>
		'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n' +
		`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`,
} as const;

describe(
	'a server that stops in the middle of a head',
	{timeout: 60_000},
	() => {
		for (const [name, formatHead] of Object.entries(heads)) {
			it(`${name} fails the request, wherever it stops`, async () => {
				for (let length = 1; length < formatHead('2').length; length++) {
					const {send} = await createFixture(
						({socket, header}, requestNumber) => {
							if (requestNumber === 1) {
								socket.write(formatResponse(header('x-id')));
							} else {
								socket.end(formatHead(header('x-id')).slice(0, length));
							}
						},
					);
					expect(await send('1')).toEqual(completeResponse);
					expect(await send('2')).toEqual(failedAfterSend);
					for (const cleanUp of cleanups.splice(0)) {
						cleanUp();
					}
				}
			});
		}
	},
);

/** Bytes that a faulty server sends again and again until its connection is closed. */
const endlessBytes = {
	'a status line': {start: '', repeated: 'x'.repeat(1024)},
	'empty lines before the status line': {
		start: '',
		repeated: '\r\n'.repeat(512),
	},
	'a header line': {
		start: 'HTTP/1.1 200 OK\r\nx-long: ',
		repeated: 'x'.repeat(1024),
	},
	'header lines': {
		start: 'HTTP/1.1 200 OK\r\n',
		repeated: `x-more: ${'x'.repeat(1000)}\r\n`,
	},
	'interim responses': {
		start: '',
		repeated: 'HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n',
	},
	'a chunk extension': {
		start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=',
		repeated: 'x'.repeat(1024),
	},
	'a chunk size': {
		start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
		repeated: '0'.repeat(1024),
	},
	trailers: {
		start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n',
		repeated: `x-more: ${'x'.repeat(1000)}\r\n`,
	},
} as const;
/** More than any part of a response other than its body may have. */
const excessiveBytes = 1024 * 1024;

describe('a server that sends without end', {timeout: 20_000}, () => {
	for (const [name, {start, repeated}] of Object.entries(endlessBytes)) {
		it(`${name} has its connection closed and the request failed`, async () => {
			let sentBytes = 0;
			const {send} = await createFixture(({socket}) => {
				socket.write(start);
				const sendMore = () => {
					while (!socket.destroyed && sentBytes < excessiveBytes * 32) {
						sentBytes += repeated.length;
						if (!socket.write(repeated)) {
							socket.once('drain', sendMore);
							return;
						}
					}
				};

				sendMore();
			});
			expect(await send('1')).toEqual(failedAfterSend);
		});
	}
});

describe('the framing of a response', {timeout: 20_000}, () => {
	const sendWithFraming = async (rest: string) => {
		const {send} = await createFixture(({socket, header}) => {
			socket.end(`HTTP/1.1 200 OK\r\nx-id: ${header('x-id')}\r\n${rest}`);
		});
		return send('1');
	};

	for (const [name, rest] of Object.entries({
		'a chunk size that is not a number':
			'transfer-encoding: chunked\r\n\r\n3\r\nwho\r\nzz\r\n\r\n',
		'a negative chunk size':
			'transfer-encoding: chunked\r\n\r\n3\r\nwho\r\n-3\r\n\r\n',
		'a length that is not a number': 'content-length: 5x\r\n\r\nwhole',
		'a negative length': 'content-length: -5\r\n\r\nwhole',
		'two different lengths':
			'content-length: 3\r\ncontent-length: 5\r\n\r\nwhole',
		'both a length and chunked encoding':
			'content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n3\r\nwho\r\n0\r\n\r\n',
		'an unknown transfer encoding': 'transfer-encoding: gzip\r\n\r\nwhole',
	})) {
		it(`with ${name} fails the request`, async () => {
			expect(await sendWithFraming(rest)).toEqual(failedAfterSend);
		});
	}

	it('never makes a changed response look complete, whatever the byte', async () => {
		const complete =
			'HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n' +
			'3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n';
		const firstChunk = complete.indexOf('3\r\nwho');
		const replacements = ['\0', '\r', '\n', ' ', '-', '1', 'f', 'g', ';'];
		for (let index = firstChunk; index < complete.length; index++) {
			for (const replacement of replacements) {
				const changed =
					complete.slice(0, index) + replacement + complete.slice(index + 1);
				const {send} = await createFixture(({socket}) => {
					socket.end(changed);
				});
				const result = await send('1');
				const isComplete = result.kind === 'answered';
				expect(!isComplete || result.body.length === 5).toEqual(true);
				for (const cleanUp of cleanups.splice(0)) {
					cleanUp();
				}
			}
		}
	});
});

/** Such a header cannot be passed on, so the request would get no answer. */
describe('the head of a response', {timeout: 20_000}, () => {
	for (const [place, formatLine] of Object.entries({
		'a value': (byte: string) => `x-note: a${byte}b`,
		'a name': (byte: string) => `x-no${byte}te: a`,
		'the first character': (byte: string) => `${byte}x-note: a`,
	})) {
		it(`is accepted only if it can be passed on, whatever the byte in ${place}`, async () => {
			for (let byte = 0; byte <= 0xff; byte++) {
				const line = formatLine(String.fromCodePoint(byte));
				const {startExchange} = await createFixture(({socket}) => {
					const text = formatResponse('1').replace('\r\n', `\r\n${line}\r\n`);
					socket.end(text, 'latin1');
				});
				const {exchange} = startExchange('1');
				const {kind} = await exchange.result;
				const {rawHeaders} = exchange;
				for (let index = 0; index < rawHeaders.length; index += 2) {
					validateHeaderName(rawHeaders[index]!);
					validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!);
				}

				const isAllowedInValue =
					byte === 0x09 || byte >= 0x80 || (byte >= 0x20 && byte < 0x7f);
				if (place === 'a value') {
					expect(kind).toEqual(isAllowedInValue ? 'answered' : 'failed');
				}

				for (const cleanUp of cleanups.splice(0)) {
					cleanUp();
				}
			}
		});
	}
});

/** Callers that read slowly pause the connection to the server. */
describe('a paused connection', {timeout: 5000}, () => {
	const createPausedFixture = async () => {
		const fixture = await createFixture(({socket, header}) => {
			socket.write(formatResponse(header('x-id')));
		});
		const {exchange, connection} = fixture.startExchange('1');
		exchange.onBodyPart = () => {
			connection.pause(exchange);
		};

		expect(await exchange.result).toEqual(completeResponse);
		return {...fixture, exchange, connection};
	};

	it('is read again when the next request uses it', async () => {
		const {server, send} = await createPausedFixture();
		expect(await send('2')).toEqual(completeResponse);
		expect(server.connectionCount).toEqual(1);
	});

	it('is not paused by an exchange that has ended', async () => {
		const {server, startExchange, exchange, connection} =
			await createPausedFixture();
		const next = startExchange('2');
		expect(next.connection).toEqual(connection);
		connection.pause(exchange);
		expect(await next.exchange.result).toEqual(completeResponse);
		expect(server.connectionCount).toEqual(1);
	});
});

describe('a body that is sent in parts', {timeout: 5000}, () => {
	it('follows its head on a connection that is not established yet', async () => {
		const {server, target, connections} = await createFixture(
			({socket, header}) => {
				socket.write(formatResponse(header('x-id')));
			},
		);
		const exchange = new RecordingExchange('1');
		const parts = ['a', 'b', 'c'].map((letter) => letter.repeat(100_000));
		const head =
			'POST / HTTP/1.1\r\nhost: h\r\nx-id: 1\r\ncontent-length: 300000\r\n\r\n';
		const connection = connections.acquire(target, false);
		connection.send(exchange, Buffer.from(head), false);
		for (const part of parts) {
			if (!connection.write(Buffer.from(part))) {
				await new Promise<void>((resolve) => {
					connection.onDrain(resolve);
				});
			}
		}

		connection.endBody();
		expect(await exchange.result).toEqual(completeResponse);
		expect(server.requests[0]!.text).toEqual(head + parts.join(''));
	});

	it('is not held up by a connection that is closed', async () => {
		const {target, connections} = await createFixture(() => undefined);
		const exchange = new RecordingExchange('1');
		const connection = connections.acquire(target, false);
		connection.send(exchange, Buffer.from('POST / HTTP/1.1\r\n'), false);
		expect(connection.write(Buffer.from('a'))).toEqual(false);
		const drained = new Promise<void>((resolve) => {
			connection.onDrain(resolve);
		});
		connection.close();
		await drained;
		expect(connection.write(Buffer.from('b'))).toEqual(true);
	});
});

describe('a request', () => {
	it('to an unreachable server was not sent', async () => {
		const {server, send} = await createFixture(() => undefined);
		server.close();
		expect(await send('1')).toEqual({kind: 'failed', wasSent: false});
	});

	it('whose connection is reset may have been run', async () => {
		const {send} = await createFixture(({socket}) => {
			socket.resetAndDestroy();
		});
		expect(await send('1')).toEqual(failedAfterSend);
	});

	it('that is not idempotent reuses no connection idle for a second', async () => {
		const {server, clock, send} = await createFixture(({socket, header}) => {
			socket.write(formatResponse(header('x-id')));
		});
		await send('1', false);
		clock.advance(1000);
		await send('2', false);
		expect(server.connectionCount).toEqual(2);
		clock.advance(1000);
		await send('3', true);
		expect(server.connectionCount).toEqual(2);
	});

	it('reuses no connection that its server is about to close', async () => {
		const {server, clock, send} = await createFixture(({socket, header}) => {
			const response = formatResponse(header('x-id'));
			socket.write(response.replace('\r\n', '\r\nkeep-alive: timeout=3\r\n'));
		});
		await send('1');
		clock.advance(2500);
		await send('2');
		expect(server.connectionCount).toEqual(2);
	});
});
