import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {setImmediate as waitForIo} from 'node:timers/promises';
import {expect} from 'earl';
import fc from 'fast-check';
import {RequestPipelines} from '../src/index.js';

/** Fails a test that waits for an event that does not come. */
const testTimeoutMs = 30_000;
const maximumOpenRequests = 4;
const runs = {numRuns: 60, seed: 7};

type Started = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	isEnded: boolean;
};

async function createFixture() {
	const server = createServer({keepAliveTimeout: 0});
	const started = new Map<string, Started>();
	const pipelines = new RequestPipelines({
		server,
		maximumOpenRequests,
		formatRefusal: () =>
			'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n',
	});
	server.on('request', (request, response) => {
		pipelines.add(request, response, () => {
			const entry = {request, response, isEnded: false};
			response.once('close', () => {
				entry.isEnded = true;
			});
			started.set(request.url!, entry);
			request.resume();
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const received: string[] = [];
	socket.on('data', (bytes) => received.push(bytes.toString('latin1')));
	socket.on('error', () => undefined);
	await new Promise<void>((resolve) => {
		socket.once('connect', resolve);
	});
	return {
		started,
		pipelines,
		socket,
		getReceived: () => received.join(''),
		finish(url: string) {
			const {response} = started.get(url)!;
			response.end(`<${url}>`);
		},
		close() {
			socket.destroy();
			server.close();
			server.closeAllConnections();
		},
	};
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await waitForIo();
	}
}

/** Lets all bytes that were already sent arrive. */
async function settle(): Promise<void> {
	for (let turn = 0; turn < 50; turn++) {
		await waitForIo();
	}
}

function formatGet(url: string): string {
	return `GET ${url} HTTP/1.1\r\nhost: h\r\n\r\n`;
}

function listAnswered(text: string): string[] {
	return [...text.matchAll(/<(\S+?)>/g)].map(([, url]) => url!);
}

/** Writes the text in pieces that end at the given offsets. */
async function writeInPieces(
	socket: Socket,
	text: string,
	ends: readonly number[],
): Promise<void> {
	let from = 0;
	for (const end of [...ends].sort((a, b) => a - b)) {
		socket.write(text.slice(from, end));
		from = end;
		await waitForIo();
	}

	socket.write(text.slice(from));
}

describe('a connection with several requests', {timeout: testTimeoutMs}, () => {
	it('has no more than the maximum in progress at the same time', async () => {
		const fixture = await createFixture();
		const urls = Array.from({length: 12}, (_, index) => `/${index}`);
		fixture.socket.write(urls.map((url) => formatGet(url)).join(''));
		await waitUntil(() => fixture.started.size === maximumOpenRequests);
		await settle();
		expect(fixture.started.size).toEqual(maximumOpenRequests);
		for (const url of urls) {
			await waitUntil(() => fixture.started.has(url));
			fixture.finish(url);
		}

		await waitUntil(() => listAnswered(fixture.getReceived()).length === 12);
		expect(listAnswered(fixture.getReceived())).toEqual(urls);
		fixture.close();
	});

	it('is not read while many requests wait to be started', async () => {
		const fixture = await createFixture();
		const requestBytes = formatGet('/x'.padEnd(1000, 'x'));
		let isAccepted = true;
		// Loopback buffers hold a few megabytes; a server that read them all would accept more.
		for (let count = 0; isAccepted && count < 100_000; count++) {
			isAccepted = fixture.socket.write(requestBytes);
		}

		await settle();
		expect(fixture.socket.writableLength).toBeGreaterThan(0);
		fixture.close();
	});

	it('runs an upload alone, and reads its body while earlier responses are complete', async () => {
		const fixture = await createFixture();
		const body = 'b'.repeat(200_000);
		fixture.socket.write(
			formatGet('/1') +
				`POST /2 HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}` +
				formatGet('/3'),
		);
		await waitUntil(() => fixture.started.has('/1'));
		await settle();
		expect(fixture.started.has('/2')).toEqual(false);
		fixture.finish('/1');
		await waitUntil(() => fixture.started.get('/2')?.request.complete === true);
		await settle();
		expect(fixture.started.has('/3')).toEqual(false);
		fixture.finish('/2');
		await waitUntil(() => fixture.started.has('/3'));
		fixture.finish('/3');
		await waitUntil(() => listAnswered(fixture.getReceived()).length === 3);
		fixture.close();
	});

	it('answers every request in order and whole, whatever the pieces and the order of completion', async () => {
		const plan = fc.record({
			count: fc.integer({min: 1, max: 10}),
			pieceEnds: fc.array(fc.integer({min: 1, max: 400}), {maxLength: 8}),
			order: fc.infiniteStream(fc.nat({max: 100})),
			abortAfter: fc.option(fc.nat({max: 9}), {nil: undefined}),
		});
		await fc.assert(
			fc.asyncProperty(plan, async ({count, pieceEnds, order, abortAfter}) => {
				const fixture = await createFixture();
				const urls = Array.from({length: count}, (_, index) => `/${index}`);
				const text = urls.map((url) => formatGet(url)).join('');
				await writeInPieces(fixture.socket, text, pieceEnds);
				for (let done = 0; done < count && done !== abortAfter; done++) {
					const listOpen = () =>
						[...fixture.started].filter(
							([, {response}]) => !response.writableEnded,
						);
					await waitUntil(() => listOpen().length > 0);
					const open = listOpen();
					const [url] = open[order.next().value % open.length]!;
					fixture.finish(url);
				}

				if (abortAfter !== undefined && abortAfter < count) {
					fixture.socket.destroy();
					await waitUntil(() =>
						[...fixture.started.values()].every(({isEnded}) => isEnded),
					);
				} else {
					await waitUntil(
						() => listAnswered(fixture.getReceived()).length === count,
					);
				}

				const answered = listAnswered(fixture.getReceived());
				expect(answered).toEqual(urls.slice(0, answered.length));
				fixture.close();
			}),
			runs,
		);
	});
});
