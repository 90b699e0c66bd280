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
import type {HeldBytes} from '@parsleyvale/held-bytes';
import {RequestPipelines} from '@parsleyvale/pipelining';
import {
	ErrorKind,
	getErrorResponse,
	toRefusalBody,
	type ClientLimits,
	type Clock,
	type Endpoint,
	type Milliseconds,
	type RequestId,
} from '@parsleyvale/shared';
import type {LimitReporter} from '@parsleyvale/telemetry';
import {CallerConnections} from './caller-connections.js';
import {parseCallerHeader, type CallerHeader} from './caller-header.js';
import {Exchange} from './exchange.js';
import {toKeyHash} from './api-key.js';
import {IncomingBody} from './incoming-body.js';
import {listen} from './listen.js';
import type {LookUpAnswer} from './look-up-answer.js';
import {sendRefusal} from './refusal.js';
import {readRequestBody, type RequestBody} from './request-body.js';
import type {ServerConnections} from './server-connections.js';

export const lookUpPath = '/.well-known/parsleyvale/look-up';

const headerTimeout: Milliseconds = 10_000;
const keepAliveTimeout: Milliseconds = 60_000;
/** How often Node.js looks for heads that are late. */
const headerCheckInterval: Milliseconds = 1000;

export type CallerServerOptions = {
	readonly endpoint: Endpoint;
	readonly clock: Clock;
	readonly connections: ServerConnections;
	/** Limit on the requests of one connection in progress at the same time. */
	readonly maximumPipelinedRequests: number;
	readonly limits: ClientLimits;
	readonly heldBytes: HeldBytes;
	readonly reporter: LimitReporter;
	readonly onEvent: (event: KernelEvent) => void;
};

/** HTTP server for the look-ups and requests of callers. */
export class CallerServer {
	readonly #options: CallerServerOptions;
	readonly #server: Server;
	readonly #exchanges = new Map<RequestId, Exchange>();
	readonly #pendingLookUps = new Map<RequestId, ServerResponse>();
	readonly #pipelines: RequestPipelines;
	readonly #callerConnections: CallerConnections;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#server = createServer({
			requestTimeout: 0,
			headersTimeout: headerTimeout,
			keepAliveTimeout,
			connectionsCheckingInterval: headerCheckInterval,
			// A missing Host is refused by parseCallerHeader, with a JSON error body.
			requireHostHeader: false,
		});
		this.#pipelines = new RequestPipelines({
			server: this.#server,
			maximumOpenRequests: options.maximumPipelinedRequests,
			formatRefusal: formatParseRefusal,
		});
		this.#callerConnections = new CallerConnections({
			...options,
			server: this.#server,
			pipelines: this.#pipelines,
		});
		this.#server.on('request', (request, response) => {
			this.#addRequest(request, response, false);
		});
		this.#server.on('checkContinue', (request, response) => {
			this.#addRequest(request, response, true);
		});
		this.#server.on('checkExpectation', (request, response) => {
			this.#pipelines.add(request, response, () => {
				refuseAndClose(response, ErrorKind.MalformedRequest);
			});
		});
		this.#server.on('connect', (_request, socket) => {
			refuseConnect(socket);
		});
	}

	/** Starts to listen and returns the port. */
	async listen(): Promise<number> {
		return listen(this.#server, this.#options.endpoint);
	}

	findExchange(requestId: RequestId): Exchange | undefined {
		return this.#exchanges.get(requestId);
	}

	answerLookUp(lookUpId: RequestId, answer: LookUpAnswer): void {
		const response = this.#pendingLookUps.get(lookUpId);
		this.#pendingLookUps.delete(lookUpId);
		const maxAgeSeconds = Math.floor(answer.lifetimeMs / 1000);
		response?.writeHead(200, {
			'content-type': 'application/json',
			'cache-control': `private, max-age=${maxAgeSeconds}`,
		});
		response?.end(JSON.stringify(answer));
	}

	/** From now on, closes each connection after the response to its last started request. */
	stop(): void {
		this.#pipelines.startClosing();
	}

	async close(): Promise<void> {
		this.#callerConnections.close();
		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeIdleConnections();
		});
	}

	#addRequest(
		request: IncomingMessage,
		response: ServerResponse,
		isAwaitingContinue: boolean,
	): void {
		// The body may arrive while other requests of the connection are in front.
		const incomingBody = this.#createIncomingBody(request, isAwaitingContinue);
		response.once('close', () => {
			incomingBody.discard();
		});
		this.#pipelines.add(request, response, () => {
			void this.#handleRequest({
				request,
				response,
				incomingBody,
				isAwaitingContinue,
			});
		});
	}

	#createIncomingBody(
		request: IncomingMessage,
		isAwaitingContinue: boolean,
	): IncomingBody {
		const {limits, reporter} = this.#options;
		return new IncomingBody({
			request,
			connection: this.#callerConnections.get(request.socket),
			isAwaitingContinue,
			limits,
			onDrainLimitReached() {
				reporter.onReached('refused-rest');
			},
		});
	}

	async #handleRequest(received: IncomingRequest): Promise<void> {
		const {request, response, incomingBody, isAwaitingContinue} = received;
		response.on('error', () => undefined);
		if (this.#pipelines.shouldClose(response)) {
			response.setHeader('connection', 'close');
		}

		const parsed = parseCallerHeader(request.url ?? '', request.rawHeaders);
		if (parsed.isErr) {
			refuseAndClose(response, parsed.error);
			return;
		}

		const header = parsed.value;
		// The truncation of a close-delimited HTTP/1.0 response is undetectable.
		if (request.httpVersion !== '1.1') {
			refuseAndClose(response, ErrorKind.MalformedRequest);
			return;
		}

		if (header.target.path === lookUpPath) {
			this.#startLookUp(request, response, header);
			return;
		}

		if (header.bodyBytes !== 0 && this.#shouldRefuseBodies()) {
			this.#options.reporter.onReached('held-bytes-refused');
			incomingBody.discard();
			sendRefusal(response, ErrorKind.NoRoom);
			return;
		}

		try {
			const body = await readRequestBody(
				incomingBody,
				header.bodyBytes,
				isAwaitingContinue,
			);
			this.#startExchange({...received, header, body});
		} catch {
			// The caller disconnected before the end of its body; nothing was started.
			response.destroy();
		}
	}

	#shouldRefuseBodies(): boolean {
		const {pressure} = this.#options.heldBytes;
		return pressure === 'refuse' || pressure === 'close';
	}

	#startLookUp(
		request: IncomingMessage,
		response: ServerResponse,
		header: CallerHeader,
	): void {
		const lookUpId = randomUUID();
		this.#pendingLookUps.set(lookUpId, response);
		response.once('close', () => {
			this.#pendingLookUps.delete(lookUpId);
		});
		this.#options.onEvent({
			type: 'look-up-arrived',
			lookUpId,
			keyHash: header.key === undefined ? undefined : toKeyHash(header.key),
			callerAddress: request.socket.remoteAddress ?? '',
		});
	}

	#startExchange(received: ReceivedRequest): void {
		const {request, response, header, body, isAwaitingContinue} = received;
		const requestId = randomUUID();
		const method = request.method ?? '';
		const {clock, connections, onEvent} = this.#options;
		const exchange = new Exchange({
			requestId,
			method,
			header,
			body,
			isAwaitingContinue,
			response,
			connections,
			clock,
			onEvent,
		});
		this.#exchanges.set(requestId, exchange);
		response.once('close', () => {
			// The kernel then cancels the attempt, which requires the exchange.
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
			fingerprint: computeFingerprint(method, header, body),
			bodyBytes: header.bodyBytes,
			deadline:
				header.remainingTime === undefined
					? undefined
					: clock.now() + header.remainingTime,
		});
	}
}

type IncomingRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly incomingBody: IncomingBody;
	readonly isAwaitingContinue: boolean;
};

type ReceivedRequest = IncomingRequest & {
	readonly header: CallerHeader;
	readonly body: RequestBody;
};

function computeFingerprint(
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

/**
 * Bytes that follow a request which could not be parsed must not be read as a
 * request, so the connection is closed.
 */
function refuseAndClose(response: ServerResponse, kind: ErrorKind): void {
	response.setHeader('connection', 'close');
	sendRefusal(response, kind);
}

function formatParseRefusal({code}: NodeJS.ErrnoException): string {
	const kind =
		code === 'HPE_HEADER_OVERFLOW'
			? ErrorKind.RequestTooLarge
			: ErrorKind.MalformedRequest;
	const body = JSON.stringify(toRefusalBody(kind, undefined));
	const status = getErrorResponse(kind).httpStatus;
	return (
		`HTTP/1.1 ${status} Refused\r\n` +
		'content-type: application/json\r\n' +
		`content-length: ${body.length}\r\n` +
		'x-not-run: true\r\n' +
		'connection: close\r\n\r\n' +
		body
	);
}

/** A connection on which a response may be in progress is closed without another one. */
function refuseConnect(socket: Duplex): void {
	if (!socket.writable || (socket as Socket).bytesWritten > 0) {
		socket.destroy();
		return;
	}

	socket.end(formatParseRefusal(new Error('CONNECT is not supported.')));
}

export function createCallerServer(options: CallerServerOptions): CallerServer {
	return new CallerServer(options);
}
