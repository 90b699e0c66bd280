import {randomUUID} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer} from 'node:net';
import {RequestPipelines} from '@parsleyvale/pipelining';
import {
	ErrorKind,
	type Clock,
	type Endpoint,
	type Milliseconds,
} from '@parsleyvale/shared';
import type {CallerLimits, SteeringEvent} from '@parsleyvale/steering';
import {CallerRequestReader} from './caller-request.js';
import {Exchange, sendRefusal} from './exchange.js';
import type {HeaderNames} from './header-names.js';
import {RequestBody} from './request-body.js';
import type {ServerConnections} from './server-connections.js';

/** Larger headers are refused, regardless of the configuration. */
const maximumHeaderBytes = 64 * 1024;
/** Callers' connections stay open this much longer than the configured timeouts. */
const timeoutMarginMs = 2000;
const defaultMaximumBodyBytes = 64 * 1024 * 1024;

export type CallerServerOptions = {
	readonly endpoint: Endpoint;
	readonly headerNames: HeaderNames;
	readonly clock: Clock;
	readonly connections: ServerConnections;
	/** Limit on the requests of one connection in progress at the same time. */
	readonly maximumPipelinedRequests: number;
	readonly onEvent: (event: SteeringEvent) => void;
	/** Called with an unexpected error, which concerned one request. */
	readonly onError: (error: unknown, operation: string) => void;
};

/** HTTP server that accepts the requests of callers. */
export class CallerServer {
	readonly #options: CallerServerOptions;
	readonly #reader: CallerRequestReader;
	readonly #server: Server;
	readonly #pipelines: RequestPipelines;
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
			noDelay: true,
		});
		this.#pipelines = new RequestPipelines({
			server: this.#server,
			maximumOpenRequests: options.maximumPipelinedRequests,
			formatRefusal: formatParseRefusal,
		});
		this.#server.on('request', (request, response) => {
			const arrivedAt = options.clock.now();
			this.#pipelines.add(request, response, () => {
				void this.#handleRequest(request, response, arrivedAt);
			});
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
		this.#server.headersTimeout = limits.headerTimeoutMs + timeoutMarginMs;
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
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
		arrivedAt: Milliseconds,
	): Promise<void> {
		const id = randomUUID();
		this.#openResponses.add(response);
		response.once('close', () => {
			this.#openResponses.delete(response);
			this.#exchanges.delete(id);
		});
		request.on('error', () => {
			// The `close` event of the response handles it.
		});
		response.on('error', () => {
			response.destroy();
		});
		const callerRequest = this.#reader.read(request);
		const body = new RequestBody(request);
		const isTooLarge = (callerRequest.bodyBytes ?? 0) > this.#maximumBodyBytes;
		const bodyResult = isTooLarge
			? 'too-large'
			: await body.read(this.#maximumBodyBytes);
		if (bodyResult === 'cut') {
			response.destroy();
			return;
		}

		if (bodyResult === 'too-large') {
			sendRefusal(response, ErrorKind.RequestTooLarge, {
				id,
				retryAfter: undefined,
				shouldCloseConnection: true,
				echoedHeader: [
					this.#options.headerNames.requestId,
					callerRequest.requestId,
				],
			});
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
		});
		this.#exchanges.set(id, exchange);
		response.once('finish', () => {
			if (bodyResult === 'long') {
				body.discardRest(this.#maximumBodyBytes);
			}
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
			arrivedAt,
			timeLeft: callerRequest.timeLeft,
		});
	}
}

/** Status lines for requests that cannot be parsed, by error code; all others are answered with 400. */
const parseRefusals = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

function formatParseRefusal({code = ''}: NodeJS.ErrnoException): string {
	const status = parseRefusals.get(code) ?? '400 Bad Request';
	return `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
}
