import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {setImmediate as waitForIo} from 'node:timers/promises';
import {expect} from 'earl';
import fc from 'fast-check';
import {RequestPipelines} from '../src/index.js';

/** Fails a test that waits for an event that does not come. */
const testTimeoutMs = 30_000;
const runs = {numRuns: 100, seed: 29};

const malformedHeads = {
	'a bare LF after the request line': 'GET /bad HTTP/1.1\nhost: h\r\n\r\n',
	'a bare LF after a header': 'GET /bad HTTP/1.1\r\nhost: h\nx: y\r\n\r\n',
	'a bare LF as its empty line': 'GET /bad HTTP/1.1\r\nhost: h\r\n\n',
	'only bare LFs': 'GET /bad HTTP/1.1\nhost: h\n\n',
	'two CRs before its last LF': 'GET /bad HTTP/1.1\r\nhost: h\r\n\r\r\n',
	'a bare LF before it': '\nGET /bad HTTP/1.1\r\nhost: h\r\n\r\n',
	'an empty header name': 'GET /bad HTTP/1.1\r\nhost: h\r\n: x\r\n\r\n',
};

const wellFormedRequests = [
	'GET /good HTTP/1.1\r\nhost: h\r\n\r\n',
	'\r\nGET /good HTTP/1.1\r\nhost: h\r\n\r\n',
	'POST /good HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n\n\r\n\r\na\r\n\n',
	'POST /good HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n' +
		'4;name=value\r\n\n\r\n\n\r\n19\r\n\r\n\r\nGET / HTTP/1.1\nabcdef\r\n0\r\n\r\n',
	'POST /good HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n' +
		'1\r\na\r\n0\r\nname: value\r\n\r\n',
] as const;

/** Sends the bytes in pieces and returns the paths of the started requests and the received statuses. */
async function exchange(text: string, pieceEnds: readonly number[]) {
	const server = createServer();
	const started: string[] = [];
	const pipelines = new RequestPipelines({
		server,
		maximumOpenRequests: 4,
		formatRefusal: () =>
			'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n',
	});
	server.on('request', (request, response) => {
		pipelines.add(request, response, () => {
			started.push(request.url!);
			request.resume();
			request.once('end', () => response.end());
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const socket = connect({port, host: '127.0.0.1', noDelay: true});
	let received = '';
	const hasEnded = new Promise<void>((resolve) => {
		socket.on('data', (bytes) => {
			received += bytes.toString('latin1');
		});
		socket.once('close', () => {
			resolve();
		});
	});
	let from = 0;
	for (const end of [...pieceEnds].sort((a, b) => a - b)) {
		socket.write(text.slice(from, end), 'latin1');
		from = Math.max(from, end);
		await waitForIo();
	}

	socket.write(text.slice(from), 'latin1');
	await hasEnded;
	server.close();
	server.closeAllConnections();
	const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)];
	return {started, statuses: statuses.map(([, status]) => status)};
}

describe('a request with a malformed head', {timeout: testTimeoutMs}, () => {
	const pieceEnds = fc.array(fc.integer({min: 1, max: 600}), {maxLength: 8});
	const requests = fc.array(fc.constantFrom(...wellFormedRequests), {
		maxLength: 4,
	});
	const next = wellFormedRequests[0];

	for (const [name, head] of Object.entries(malformedHeads)) {
		it(`is refused after earlier requests and ends its connection: ${name}`, async () => {
			await fc.assert(
				fc.asyncProperty(requests, pieceEnds, async (earlier, ends) => {
					const text = earlier.join('') + head + next;
					const {started, statuses} = await exchange(text, ends);
					expect(started).toEqual(earlier.map(() => '/good'));
					expect(statuses).toEqual([...earlier.map(() => '200'), '400']);
				}),
				{...runs, numRuns: 20},
			);
		});
	}

	it('is not found in well-formed requests, whatever their bodies and pieces', async () => {
		const closing =
			'GET /good HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n';
		await fc.assert(
			fc.asyncProperty(requests, pieceEnds, async (earlier, ends) => {
				const {statuses} = await exchange(earlier.join('') + closing, ends);
				expect(statuses).toEqual([...earlier.map(() => '200'), '200']);
			}),
			runs,
		);
	});
});
