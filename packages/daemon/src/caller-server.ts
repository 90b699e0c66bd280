import {createHash, randomUUID} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {KernelEvent} from '@parsleyvale/kernel';
import {
	ErrorKind,
	getErrorAnswer,
	toRefusalBody,
	type Clock,
	type Endpoint,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import {parseCallerHeader, type CallerHeader} from './caller-header.js';
import {Exchange} from './exchange.js';
import {toKeyHash} from './key-text.js';
import {runListener} from './listen.js';
import type {LookUpAnswer} from './look-up-answer.js';
import {sendRefusal} from './refusal.js';
import {readRequestBody, type RequestBody} from './request-body.js';
import type {ServerConnections} from './server-connections.js';

export const lookUpPath = '/.well-known/parsleyvale/look-up';

const headerTimeout: Milliseconds = 10_000;
const keepAliveTimeout: Milliseconds = 60_000;

export type CallerServerOptions = {
	readonly endpoint: Endpoint;
	readonly clock: Clock;
	readonly connections: ServerConnections;
	readonly onEvent: (event: KernelEvent) => void;
};

/** Where callers send look-ups and requests. */
export class CallerServer {
	readonly #options: CallerServerOptions;
	readonly #server: Server;
	readonly #exchanges = new Map<RequestId, Exchange>();
	readonly #lookUps = new Map<RequestId, ServerResponse>();
	#isStopping = false;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#server = createServer({
			requestTimeout: 0,
			headersTimeout: headerTimeout,
			keepAliveTimeout,
			// The check of the header refuses with the same answer as others.
			requireHostHeader: false,
		});
		this.#server.on('request', (request, response) => {
			void this.#take(request, response, false);
		});
		this.#server.on('checkContinue', (request, response) => {
			void this.#take(request, response, true);
		});
		this.#server.on('checkExpectation', (_request, response) => {
			refuseAndClose(response, ErrorKind.MalformedRequest);
		});
		this.#server.on('clientError', onClientError);
		this.#server.on('connect', (_request, socket) => {
			onClientError(new Error('CONNECT'), socket);
		});
	}

	/** Starts to listen and returns the port. */
	async listen(): Promise<number> {
		return runListener(this.#server, this.#options.endpoint);
	}

	findExchange(requestId: RequestId): Exchange | undefined {
		return this.#exchanges.get(requestId);
	}

	answerLookUp(lookUpId: RequestId, answer: LookUpAnswer): void {
		const response = this.#lookUps.get(lookUpId);
		this.#lookUps.delete(lookUpId);
		const seconds = Math.floor(answer.lifetimeMs / 1000);
		response?.writeHead(200, {
			'content-type': 'application/json',
			'cache-control': `private, max-age=${seconds}`,
		});
		response?.end(JSON.stringify(answer));
	}

	/** From now on every answer closes its connection. */
	stop(): void {
		this.#isStopping = true;
	}

	async close(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
	}

	async #take(
		request: IncomingMessage,
		response: ServerResponse,
		isHeldBack: boolean,
	): Promise<void> {
		request.on('error', () => undefined);
		response.on('error', () => undefined);
		if (this.#isStopping) {
			response.setHeader('connection', 'close');
		}

		const parsed = parseCallerHeader(request.url ?? '', request.rawHeaders);
		if (parsed.isErr) {
			refuseAndClose(response, parsed.error);
			return;
		}

		const header = parsed.value;
		// A close-delimited answer of HTTP/1.0 could be cut unseen.
		if (request.httpVersion !== '1.1') {
			refuseAndClose(response, ErrorKind.MalformedRequest);
			return;
		}

		if (header.target.path === lookUpPath) {
			this.#lookUp(request, response, header);
			return;
		}

		try {
			const body = await readRequestBody(request, header.bodyBytes, isHeldBack);
			this.#admit({request, response, header, body, isHeldBack});
		} catch {
			// The caller went away before its body was whole; nothing was begun.
			response.destroy();
		}
	}

	#lookUp(
		request: IncomingMessage,
		response: ServerResponse,
		header: CallerHeader,
	): void {
		const lookUpId = randomUUID();
		this.#lookUps.set(lookUpId, response);
		response.once('close', () => {
			this.#lookUps.delete(lookUpId);
		});
		this.#options.onEvent({
			type: 'look-up-arrived',
			lookUpId,
			keyHash: header.key === undefined ? undefined : toKeyHash(header.key),
			callerAddress: request.socket.remoteAddress ?? '',
		});
	}

	#admit(arrival: Arrival): void {
		const {request, response, header, body, isHeldBack} = arrival;
		const requestId = randomUUID();
		const method = request.method ?? '';
		const {clock, connections, onEvent} = this.#options;
		const exchange = new Exchange({
			requestId,
			method,
			header,
			body,
			isHeldBack,
			response,
			connections,
			clock,
			onEvent,
		});
		this.#exchanges.set(requestId, exchange);
		response.once('close', () => {
			// The kernel's answer, a cancellation, still needs the exchange.
			if (!response.writableFinished) {
				onEvent({type: 'request-cancelled', requestId});
			}

			this.#exchanges.delete(requestId);
		});
		onEvent({
			type: 'request-arrived',
			requestId,
			method,
			path: header.target.path,
			keyHash: header.key === undefined ? undefined : toKeyHash(header.key),
			callerAddress: request.socket.remoteAddress ?? '',
			idempotencyKey: header.idempotencyKey,
			fingerprint: toFingerprint(method, header, body),
			bodyBytes: header.bodyBytes,
			deadline:
				header.timeLeft === undefined
					? undefined
					: clock.now() + header.timeLeft,
		});
	}
}

type Arrival = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly header: CallerHeader;
	readonly body: RequestBody;
	readonly isHeldBack: boolean;
};

function toFingerprint(
	method: string,
	header: CallerHeader,
	body: RequestBody,
): string {
	return header.idempotencyKey === undefined
		? ''
		: createHash('sha256')
				.update(method)
				.update('\n')
				.update(header.target.pathAndQuery)
				.update('\n')
				.update(body.fingerprint)
				.digest('hex');
}

/** What follows a request that could not be read must not be read either. */
function refuseAndClose(response: ServerResponse, kind: ErrorKind): void {
	response.setHeader('connection', 'close');
	sendRefusal(response, kind);
}

function onClientError(error: Error, socket: Duplex): void {
	const isOverflow =
		(error as NodeJS.ErrnoException).code === 'HPE_HEADER_OVERFLOW';
	const kind = isOverflow
		? ErrorKind.RequestTooLarge
		: ErrorKind.MalformedRequest;
	if (!socket.writable || (socket as Socket).bytesWritten > 0) {
		// An answer may be under way on this connection; it must not be mixed.
		socket.destroy();
		return;
	}

	const body = JSON.stringify(toRefusalBody(kind, undefined));
	const status = getErrorAnswer(kind).httpStatus;
	socket.end(
		`HTTP/1.1 ${status} Refused\r\n` +
			'content-type: application/json\r\n' +
			`content-length: ${body.length}\r\n` +
			'x-not-run: true\r\n' +
			'connection: close\r\n\r\n' +
			body,
	);
}

export function createCallerServer(options: CallerServerOptions): CallerServer {
	return new CallerServer(options);
}
