import {randomUUID} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer} from 'node:net';
import {
	ByteCharge,
	type HeldBytes,
	type HeldBytesEntry,
} from '@parsleyvale/held-bytes';
import {RequestPipelines} from '@parsleyvale/pipelining';
import {
	ErrorKind,
	type Clock,
	type Endpoint,
	type Milliseconds,
} from '@parsleyvale/shared';
import type {CallerLimits, SteeringEvent} from '@parsleyvale/steering';
import {CallerConnections} from './caller-connections.js';
import {CallerRequestReader, type CallerRequest} from './caller-request.js';
import type {
	ConnectionLimitName,
	ConnectionLimits,
} from './connection-limits.js';
import {Exchange, sendRefusal} from './exchange.js';
import type {HeaderNames} from './header-names.js';
import {RequestBody} from './request-body.js';
import {computeFingerprint} from './request-fingerprint.js';
import type {ServerConnections} from './server-connections.js';

/** Larger headers are refused, regardless of the configuration. */
const maximumHeaderBytes = 64 * 1024;
/** Callers' connections stay open this much longer than the configured timeouts. */
const timeoutMarginMs = 2000;
/** Node.js by default looks for connections that were never used too rarely for the idle timeout. */
const timeoutCheckInterval: Milliseconds = 5000;
/** Estimated cost of a request's objects without its head. */
const requestBytes = 4096;
const defaultMaximumBodyBytes = 64 * 1024 * 1024;

export type CallerServerOptions = {
	readonly endpoint: Endpoint;
	readonly headerNames: HeaderNames;
	readonly clock: Clock;
	readonly connections: ServerConnections;
	/** Limit on the requests of one connection in progress at the same time. */
	readonly maximumPipelinedRequests: number;
	readonly heldBytes: HeldBytes;
	readonly connectionLimits: ConnectionLimits;
	readonly onLimit: (limit: ConnectionLimitName) => void;
	readonly onEvent: (event: SteeringEvent) => void;
	/** Called with an unexpected error, which concerned one request. */
	readonly onError: (error: unknown, operation: string) => void;
};

/** A request with what was created for it when its head had been read. */
type Arrival = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: RequestBody;
	readonly heldBytes: HeldBytesEntry;
	readonly arrivedAt: Milliseconds;
};

/** HTTP server that accepts the requests of callers. */
export class CallerServer {
	readonly #options: CallerServerOptions;
	readonly #reader: CallerRequestReader;
	readonly #server: Server;
	readonly #pipelines: RequestPipelines;
	readonly #callerConnections: CallerConnections;
	readonly #exchanges = new Map<string, Exchange>();
	/** Responses that have not been sent completely. */
	readonly #openResponses = new Set<ServerResponse>();
	#maximumBodyBytes = defaultMaximumBodyBytes;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#reader = new CallerRequestReader(options.headerNames);
		this.#server = createServer({
			maxHeaderSize: maximumHeaderBytes,
			requestTimeout: 0,
			connectionsCheckingInterval: timeoutCheckInterval,
			noDelay: true,
		});
		this.#pipelines = new RequestPipelines({
			server: this.#server,
			maximumOpenRequests: options.maximumPipelinedRequests,
			formatRefusal: formatParseRefusal,
		});
		this.#callerConnections = new CallerConnections({
			server: this.#server,
			pipelines: this.#pipelines,
			clock: options.clock,
			heldBytes: options.heldBytes,
			limits: options.connectionLimits,
			onLimit: options.onLimit,
		});
		this.#server.on('request', (request, response) => {
			this.#onRequest(request, response);
		});
	}

	/** Number of requests whose response has not been sent yet. */
	get openRequestCount(): number {
		return this.#openResponses.size;
	}

	async listen(): Promise<void> {
		const {address, port} = this.#options.endpoint;
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port, backlog: 1024}, resolve);
		});
	}

	applyLimits(limits: CallerLimits): void {
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + timeoutMarginMs;
		// Node.js counts it from the opening of a connection, which may stay unused as
		// long as an idle one; the connections check the time for a head itself.
		this.#server.headersTimeout = limits.idleTimeoutMs + timeoutMarginMs;
		this.#callerConnections.setHeadTimeout(
			limits.headerTimeoutMs + timeoutMarginMs,
		);
		this.#maximumBodyBytes = limits.maximumBodyBytes;
	}

	findExchange(id: string): Exchange | undefined {
		return this.#exchanges.get(id);
	}

	/** Makes the last response of each connection close it. */
	startClosing(): void {
		this.#pipelines.startClosing();
	}

	/** Stops accepting connections and closes the idle ones. */
	stopListening(): void {
		// The method of the HTTP server would also close connections with queued bytes.
		NetServer.prototype.close.call(this.#server);
		this.closeIdle();
	}

	/**
	 * Closes connections without an open request. Node.js takes a connection for idle
	 * while the end of a response is still queued for a slow caller; meanwhile, all
	 * idle connections stay open.
	 */
	closeIdle(): void {
		const isQueued = [...this.#openResponses].some(
			(response) => response.writableEnded,
		);
		if (!isQueued) {
			this.#server.closeIdleConnections();
		}
	}

	close(): void {
		this.#callerConnections.close();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#onRequest(request: IncomingMessage, response: ServerResponse): void {
		const connection = this.#callerConnections.get(request.socket);
		if (connection === undefined) {
			// Its connection has been closed.
			return;
		}

		const charge = new ByteCharge(connection.entry);
		charge.add(requestBytes + computeHeadBytes(request));
		connection.onRequestStarted();
		const arrival: Arrival = {
			request,
			response,
			body: new RequestBody(request, connection),
			heldBytes: connection.entry,
			arrivedAt: this.#options.clock.now(),
		};
		response.once('close', () => {
			charge.close();
			connection.onRequestEnded();
		});
		request.on('error', () => {
			// The `close` event of the response handles it.
		});
		this.#pipelines.add(request, response, () => {
			void this.#handleRequest(arrival);
		});
	}

	async #handleRequest(arrival: Arrival): Promise<void> {
		const {request, response, body, heldBytes, arrivedAt} = arrival;
		const id = randomUUID();
		this.#openResponses.add(response);
		response.once('close', () => {
			this.#openResponses.delete(response);
			this.#exchanges.delete(id);
		});
		response.on('error', () => {
			response.destroy();
		});
		const callerRequest = this.#reader.read(request);
		const refusalKind = this.#findHeadRefusal(callerRequest);
		if (refusalKind !== undefined) {
			this.#refuseBody(refusalKind, id, callerRequest, arrival);
			return;
		}

		const bodyResult = await body.read(this.#maximumBodyBytes);
		if (bodyResult === 'cut') {
			response.destroy();
			return;
		}

		if (bodyResult === 'too-large') {
			this.#refuseBody(ErrorKind.RequestTooLarge, id, callerRequest, arrival);
			return;
		}

		const {onEvent, onError, headerNames, clock, connections} = this.#options;
		const exchange = new Exchange({
			headerNames,
			clock,
			connections,
			id,
			callerRequest,
			body,
			isStreamedBody: bodyResult === 'long',
			response,
			onEvent,
			onError,
			shouldCloseConnection: () => this.#pipelines.shouldClose(response),
			heldBytes,
		});
		this.#exchanges.set(id, exchange);
		response.once('finish', () => {
			body.discard(this.#maximumBodyBytes);
		});
		response.once('close', () => {
			if (!response.writableFinished) {
				// Makes the exchange available to the effects that cancel its attempts.
				this.#exchanges.set(id, exchange);
				onEvent({type: 'request-cancelled', requestId: id});
				this.#exchanges.delete(id);
			}
		});
		onEvent({
			type: 'request-arrived',
			requestId: id,
			callerId: callerRequest.requestId,
			hostName: callerRequest.hostName,
			path: callerRequest.path,
			keyHash: callerRequest.keyHash,
			affinity: callerRequest.affinity,
			bodyBytes: body.length,
			isBodyBuffered: bodyResult === 'whole',
			fingerprint: computeFingerprint(
				callerRequest,
				bodyResult === 'whole' ? body.length : callerRequest.bodyBytes,
				body.parts,
			),
			arrivedAt,
			timeLeft: callerRequest.timeLeft,
		});
	}

	/** Whether a request is refused before its body is read. */
	#findHeadRefusal({bodyBytes}: CallerRequest): ErrorKind | undefined {
		const {heldBytes, onLimit} = this.#options;
		if ((bodyBytes ?? 0) > this.#maximumBodyBytes) {
			onLimit('announced-length');
			return ErrorKind.RequestTooLarge;
		}

		const {pressure} = heldBytes;
		if (bodyBytes !== 0 && (pressure === 'refuse' || pressure === 'close')) {
			onLimit('held-bytes-refused');
			return ErrorKind.NoRoom;
		}

		return undefined;
	}

	/** Refuses a request whose body is not read completely, and closes its connection. */
	#refuseBody(
		kind: ErrorKind,
		id: string,
		{requestId}: CallerRequest,
		{request, response, body}: Arrival,
	): void {
		body.discard(Number.POSITIVE_INFINITY);
		this.#callerConnections.closeAfterRefusal(request.socket);
		sendRefusal(response, kind, {
			id,
			retryAfter: undefined,
			shouldCloseConnection: true,
			echoedHeader: [this.#options.headerNames.requestId, requestId],
		});
	}
}

/** Status lines for requests that cannot be parsed, by error code; all others are answered with 400. */
const parseRefusals = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

function computeHeadBytes({rawHeaders, url = ''}: IncomingMessage): number {
	let bytes = url.length;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}

function formatParseRefusal({code = ''}: NodeJS.ErrnoException): string {
	const status = parseRefusals.get(code) ?? '400 Bad Request';
	return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}
