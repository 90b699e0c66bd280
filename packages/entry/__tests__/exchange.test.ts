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
import {ServerConnections} from '../src/server-connections.js';
import type {
	ServerConnection,
	ServerExchange,
} from '../src/server-connection.js';
import {
	createServer as createBackendServer,
	headerNames,
} from './support/attempt-options.js';

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

/** Connections that respond to each request by calling `respond`. */
class FakeConnections extends ServerConnections {
	constructor(readonly respond: (exchange: ServerExchange) => void) {
		super(createManualClock(0), headerNames.requestId);
	}

	override acquire(): ServerConnection {
		const send = (exchange: ServerExchange) => {
			this.respond(exchange);
		};

		return {send} as unknown as ServerConnection;
	}
}

/** Forwards one caller's request; returns how it ended for the caller and the errors logged. */
async function exchangeOnce(respond: (exchange: ServerExchange) => void) {
	const errors: string[] = [];
	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		const body = new RequestBody(request);
		await body.read(0);
		const exchange = new Exchange({
			id: '1',
			callerRequest: new CallerRequestReader(headerNames).read(request),
			body,
			isStreamedBody: false,
			response,
			connections: new FakeConnections(respond),
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
		exchange.forward({
			type: 'forward',
			requestId: '1',
			attempt: 1,
			server: createBackendServer(),
			customer: undefined,
			deadline: 1000,
			isIdempotent: true,
		});
	};

	callerServer.on('request', (request, response) => {
		void handle(request, response);
	});
	const {port} = callerServer.address() as AddressInfo;
	const outcome = await new Promise<string>((resolve) => {
		get({host: '127.0.0.1', port, agent: false}, ({statusCode}) => {
			resolve(`answered ${statusCode}`);
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
