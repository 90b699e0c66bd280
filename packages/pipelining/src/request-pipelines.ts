import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {ConnectionPipeline} from './connection-pipeline.js';
import {ConnectionReader} from './connection-reader.js';
import {ReadTurns} from './read-turns.js';
import {RequestScanner} from './request-scanner.js';

/** Default limit on the requests of one connection in progress at the same time. */
export const defaultMaximumPipelinedRequests = 8;

export type RequestPipelinesOptions = {
	readonly server: Server;
	readonly maximumOpenRequests: number;
	/** Returns the bytes of a complete response to a request that cannot be parsed; it must announce `connection: close`. */
	readonly formatRefusal: (error: NodeJS.ErrnoException) => string;
};

/**
 * Applies the rules of HTTP/1.1 pipelining to the connections of a server: a
 * limited number of safe requests of one connection are processed at the same
 * time, all others one by one.
 *
 * @example
 * const pipelines = new RequestPipelines({server, maximumOpenRequests: 8, formatRefusal});
 * server.on('request', (request, response) => {
 * 	pipelines.add(request, response, () => response.end('done'));
 * });
 */
export class RequestPipelines {
	readonly #options: RequestPipelinesOptions;
	readonly #pipelines = new WeakMap<Socket, ConnectionPipeline>();
	readonly #scanners = new WeakMap<Socket, RequestScanner>();
	readonly #turns = new ReadTurns();
	#isClosing = false;

	constructor(options: RequestPipelinesOptions) {
		this.#options = options;
		options.server.on('connection', (socket) => {
			this.#addConnection(socket);
		});
		options.server.on(
			'clientError',
			(error: NodeJS.ErrnoException, socket: Socket) => {
				this.#onClientError(error, socket);
			},
		);
	}

	/**
	 * Calls `start` once the requests in front of this one on its connection allow it.
	 * A request with a malformed head is refused like one that cannot be parsed.
	 */
	add(
		request: IncomingMessage,
		response: ServerResponse,
		start: () => void,
	): void {
		const {socket} = request;
		const pipeline = this.#getPipeline(socket);
		if (this.#scanners.get(socket)?.checkHead(request) === false) {
			pipeline.endWith(this.#options.formatRefusal(createHeadError()));
		} else {
			pipeline.add({request, response, start});
		}
	}

	/** Stops reading a connection until `resumeReading` has been called for each reason. */
	pauseReading(socket: Socket, reason: string): void {
		this.#getPipeline(socket).pauseReading(reason);
	}

	resumeReading(socket: Socket, reason: string): void {
		this.#getPipeline(socket).resumeReading(reason);
	}

	/** From now on, no request is started behind another one. */
	startClosing(): void {
		this.#isClosing = true;
	}

	/**
	 * Whether the response must announce the close of its connection: the server is
	 * stopping, and no started request is behind this one.
	 */
	shouldClose(response: ServerResponse): boolean {
		return (
			this.#isClosing && this.#getPipeline(response.req.socket).isLast(response)
		);
	}

	#addConnection(socket: Socket): void {
		const scanner = new RequestScanner();
		this.#scanners.set(socket, scanner);
		const reader: ConnectionReader = new ConnectionReader({
			socket,
			scanner,
			turns: this.#turns,
			canProcess: () => pipeline.canProcess,
			onQueueEmptied() {
				pipeline.onQueueEmptied();
			},
		});
		const pipeline: ConnectionPipeline = new ConnectionPipeline({
			socket,
			maximumOpenRequests: this.#options.maximumOpenRequests,
			isClosing: () => this.#isClosing,
			hasQueuedBytes: () => reader.hasQueuedBytes,
			onProcessable() {
				reader.continue();
			},
		});
		this.#pipelines.set(socket, pipeline);
	}

	/** Each connection of the server has a pipeline from its opening on. */
	#getPipeline(socket: Socket): ConnectionPipeline {
		return this.#pipelines.get(socket)!;
	}

	#onClientError(error: NodeJS.ErrnoException, socket: Socket): void {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		this.#getPipeline(socket).endWith(this.#options.formatRefusal(error));
	}
}

function createHeadError(): NodeJS.ErrnoException {
	return Object.assign(new Error('The head of the request is malformed.'), {
		code: 'HPE_INVALID_HEADER_TOKEN',
	});
}
