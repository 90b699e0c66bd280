import {Buffer} from 'node:buffer';
import {afterEach, describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import {expect} from 'earl';
import {Attempt, AttemptListener, type AttemptResult} from '../src/attempt.js';
import {ServerConnections} from '../src/server-connections.js';
import {createServer, headerNames} from './support/attempt-options.js';
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

function unexpected(): never {
	throw new Error('The response is buffered, not streamed.');
}

class RecordingListener extends AttemptListener {
	override onStreamStart = unexpected;
	override onStreamData = unexpected;
	override onStreamEnd = unexpected;
	override onStreamAborted = unexpected;
	readonly result: Promise<AttemptResult>;
	#resolve!: (result: AttemptResult) => void;

	constructor() {
		super();
		this.result = new Promise((resolve) => {
			this.#resolve = resolve;
		});
	}

	override onEnded(_attempt: Attempt, result: AttemptResult): void {
		this.#resolve(result);
	}
}

function formatRefusal(status: number, idLine: string): string {
	return (
		`HTTP/1.1 ${status} Refused\r\n${idLine}` +
		'x-not-run: true\r\ncontent-length: 2\r\n\r\nno'
	);
}

/** Sends requests one after the other, and returns their outcomes. */
async function sendRequests(
	ids: readonly string[],
	onRequest: (request: RawRequest, requestNumber: number) => void,
) {
	const server = await new RawServer(onRequest).listen();
	const connections = new ServerConnections(
		createManualClock(0),
		headerNames.requestId,
	);
	cleanups.push(() => {
		connections.close();
		server.close();
	});
	const target = {...createServer(), port: server.port};
	const outcomes: string[] = [];
	for (const id of ids) {
		const listener = new RecordingListener();
		const attempt = new Attempt({
			number: 1,
			server: target,
			requestId: id,
			isHead: false,
			headerNames,
			listener,
		});
		const head = `POST / HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\n\r\n`;
		connections.acquire(target, false).send(attempt, Buffer.from(head), true);
		const {outcome} = await listener.result;
		outcomes.push(outcome);
	}

	return {outcomes, connectionCount: server.connectionCount};
}

const refusals: ReadonlyArray<[number, string]> = [
	[503, 'not-run'],
	[429, 'not-run'],
	[421, 'wrong-server'],
];

describe('a refusal that a server repeats on a kept connection', () => {
	for (const [status, outcome] of refusals) {
		it(`does not make the next request count as not run (${status})`, async () => {
			const {outcomes} = await sendRequests(
				['1', '2'],
				({socket, header}, requestNumber) => {
					const refusal = formatRefusal(status, 'x-id: 1\r\n');
					socket.write(
						requestNumber === 1
							? refusal
							: refusal + formatResponse(header('x-id')),
					);
				},
			);
			expect(outcomes).toEqual([outcome, 'answered']);
		});

		it(`without an id does not make the next request count as not run (${status})`, async () => {
			const {outcomes} = await sendRequests(
				['1', '2'],
				({socket}, requestNumber) => {
					const idLine = requestNumber === 1 ? 'x-id: 1\r\n' : '';
					socket.write(formatRefusal(status, idLine));
				},
			);
			expect(outcomes).toEqual([outcome, 'unknown']);
		});
	}

	it('in pieces is discarded, too', async () => {
		const {outcomes} = await sendRequests(
			['1', '2'],
			({socket, header}, requestNumber) => {
				const refusal = formatRefusal(503, 'x-id: 1\r\n');
				if (requestNumber === 1) {
					socket.write(refusal);
					return;
				}

				socket.write(refusal.slice(0, 30));
				setTimeout(() => {
					socket.write(refusal.slice(30) + formatResponse(header('x-id')));
				}, 30);
			},
		);
		expect(outcomes).toEqual(['not-run', 'answered']);
	});

	it('between two requests closes the connection', async () => {
		const {outcomes, connectionCount} = await sendRequests(
			['1', '2'],
			({socket, header}, requestNumber) => {
				const refusal = formatRefusal(503, 'x-id: 1\r\n');
				socket.write(
					requestNumber === 1
						? refusal + refusal
						: formatResponse(header('x-id')),
				);
			},
		);
		expect(outcomes).toEqual(['not-run', 'answered']);
		expect(connectionCount).toEqual(2);
	});
});

describe('an answer that does not name its request', () => {
	it('is not taken for the answer to the pending request', async () => {
		const {outcomes} = await sendRequests(['1'], ({socket}) => {
			socket.write(
				'HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nwhole',
			);
		});
		expect(outcomes).toEqual(['unknown']);
	});
});
