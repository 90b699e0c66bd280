import {Buffer} from 'node:buffer';
import {
	createServer,
	get,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import {expect} from 'earl';
import {CallerRequestReader} from '../src/caller-request.js';
import {Exchange} from '../src/exchange.js';
import {RequestBody} from '../src/request-body.js';
import type {ServerExchange} from '../src/server-connection.js';
import {
	createServer as createBackendServer,
	headerNames,
} from './support/attempt-options.js';
import {FakeConnections} from './support/fake-connections.js';

/** Fails a test whose caller waits for an answer that does not come. */
const testTimeoutMs = 5000;
const unwritableHead = {
	status: 200,
	rawHeaders: ['x-id', '1', 'x-seal', 's', 'x-note', '\u0001'],
	shouldKeepAlive: true,
};

let callerServer: Server;

beforeEach(async () => {
	callerServer = createServer();
	await new Promise<void>((resolve) => {
		callerServer.listen(0, '127.0.0.1', resolve);
	});
});

afterEach(() => {
	callerServer.close();
	callerServer.closeAllConnections();
});

/**
 * Forwards one caller's request once for each function, which plays its server;
 * returns how it ended for the caller and the errors logged.
 */
async function exchangeOnce(
	...servers: ReadonlyArray<(exchange: ServerExchange) => void>
) {
	const errors: string[] = [];
	const remainingServers = [...servers];
	const connections = new FakeConnections((exchange) => {
		remainingServers.shift()?.(exchange);
	});
	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		const body = new RequestBody(request);
		await body.read(0);
		const exchange = new Exchange({
			id: '1',
			callerRequest: new CallerRequestReader(headerNames).read(request),
			body,
			isStreamedBody: false,
			response,
			connections,
			headerNames,
			clock: createManualClock(0),
			onEvent(event) {
				if (event.type === 'attempt-ended' && event.isAnswerBuffered) {
					exchange.deliver(event.attempt);
				}
			},
			onError(_error, operation) {
				errors.push(operation);
			},
			shouldCloseConnection: () => false,
		});
		for (const [index] of servers.entries()) {
			exchange.forward({
				type: 'forward',
				requestId: '1',
				attempt: index + 1,
				server: createBackendServer(),
				customer: undefined,
				deadline: 1000,
				isIdempotent: true,
			});
		}
	};

	callerServer.on('request', (request, response) => {
		void handle(request, response);
	});
	const {port} = callerServer.address() as AddressInfo;
	const outcome = await new Promise<string>((resolve) => {
		get({host: '127.0.0.1', port, agent: false}, (response) => {
			const chunks: Buffer[] = [];
			response.on('data', (chunk: Buffer) => chunks.push(chunk));
			response.on('end', () => {
				const seal = String(response.headers['x-seal']);
				const body = Buffer.concat(chunks).toString();
				const characters = [...new Set(body)].join('');
				resolve(`${seal}: ${body.length} times ${characters}`);
			});
			response.on('error', () => {
				resolve('cut');
			});
		}).on('error', () => {
			resolve('closed');
		});
	});
	return {outcome, errors};
}

describe(
	'a response whose head cannot be written',
	{timeout: testTimeoutMs},
	() => {
		const expected = {outcome: 'closed', errors: ['write response head']};

		it('closes the connection of a caller that would wait in vain', async () => {
			const result = await exchangeOnce((exchange) => {
				exchange.onResponseHead(unwritableHead);
				exchange.onResponseEnd();
			});
			expect(result).toEqual(expected);
		});

		it('does not end the process if it is streamed', async () => {
			const result = await exchangeOnce((exchange) => {
				exchange.onResponseHead(unwritableHead);
				exchange.onResponseBody(Buffer.alloc(300 * 1024));
			});
			expect(result).toEqual(expected);
		});
	},
);

/** Each of two attempts may get a response, as when a slow request was sent again. */
describe('a response that is being sent', {timeout: testTimeoutMs}, () => {
	const partSize = 300 * 1024;
	const toHead = (seal: string) => ({
		status: 200,
		rawHeaders: ['x-id', '1', 'x-seal', seal],
		shouldKeepAlive: true,
	});

	for (const [name, size] of Object.entries({
		buffered: 10,
		streamed: partSize,
	})) {
		it(`is not mixed with that of another attempt (${name})`, async () => {
			let first: ServerExchange | undefined;
			const {outcome} = await exchangeOnce(
				(exchange) => {
					first = exchange;
					exchange.onResponseHead(toHead('first'));
					exchange.onResponseBody(Buffer.alloc(partSize, 'a'));
				},
				(exchange) => {
					exchange.onResponseHead(toHead('second'));
					exchange.onResponseBody(Buffer.alloc(size, 'b'));
					exchange.onResponseEnd();
					first!.onResponseBody(Buffer.alloc(partSize, 'a'));
					first!.onResponseEnd();
				},
			);
			expect(outcome).toEqual(`first: ${2 * partSize} times a`);
		});
	}
});
