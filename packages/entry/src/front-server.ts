import {randomUUID} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {ErrorKind, type Clock, type Endpoint} from '@parsleyvale/shared';
import type {CallerLimits, SteeringEvent} from '@parsleyvale/steering';
import {CallerBody} from './caller-body.js';
import {CallerRequestReader} from './caller-request.js';
import {Exchange, sendRefusal} from './exchange.js';
import type {ServerConnections} from './server-connections.js';
import type {WireNames} from './wire-names.js';

/** Headers beyond this are refused, whatever the configuration says. */
const maximumHeaderSize = 64 * 1024;
/** A caller's connection outlives its allowed idle time by this much. */
const idleMargin = 2000;
const defaultBodyBytes = 64 * 1024 * 1024;

export type FrontServerOptions = {
	readonly endpoint: Endpoint;
	readonly names: WireNames;
	readonly clock: Clock;
	readonly connections: ServerConnections;
	readonly onEvent: (event: SteeringEvent) => void;
};

/** Takes callers' requests and gives them their answers. */
export class FrontServer {
	readonly #options: FrontServerOptions;
	readonly #reader: CallerRequestReader;
	readonly #server: Server;
	readonly #exchanges = new Map<string, Exchange>();
	#maximumBodyBytes = defaultBodyBytes;
	#isClosing = false;
	#open = 0;

	constructor(options: FrontServerOptions) {
		this.#options = options;
		this.#reader = new CallerRequestReader(options.names);
		this.#server = createServer({
			maxHeaderSize: maximumHeaderSize,
			requestTimeout: 0,
			noDelay: true,
		});
		this.#server.on('request', (request, response) => {
			void this.#take(request, response);
		});
	}

	/** Requests that have no answer yet. */
	get size(): number {
		return this.#open;
	}

	async listen(): Promise<void> {
		const {address, port} = this.#options.endpoint;
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port, backlog: 1024}, resolve);
		});
	}

	applyLimits(limits: CallerLimits): void {
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + idleMargin;
		this.#server.headersTimeout = limits.headerTimeoutMs + idleMargin;
		this.#maximumBodyBytes = limits.maximumBodyBytes;
	}

	findExchange(id: string): Exchange | undefined {
		return this.#exchanges.get(id);
	}

	/** From now on, each answer ends its connection. */
	startClosing(): void {
		this.#isClosing = true;
	}

	/** Takes no new connection; those without a request end. */
	stopListening(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Ends connections whose callers have sent nothing since their answer. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #take(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const arrivedAt = this.#options.clock.now();
		const id = randomUUID();
		this.#open += 1;
		response.once('close', () => {
			this.#open -= 1;
			this.#exchanges.delete(id);
		});
		request.on('error', () => {
			// The response's close tells of it.
		});
		response.on('error', () => {
			response.destroy();
		});
		const caller = this.#reader.read(request);
		const body = new CallerBody(request);
		const isTooLarge = (caller.bodyBytes ?? 0) > this.#maximumBodyBytes;
		const reading = isTooLarge
			? 'too-large'
			: await body.read(this.#maximumBodyBytes);
		if (reading === 'cut') {
			response.destroy();
			return;
		}

		if (reading === 'too-large') {
			sendRefusal(response, ErrorKind.RequestTooLarge, {
				id,
				retryAfter: undefined,
				isLast: true,
				echo: [this.#options.names.requestId, caller.requestId],
			});
			return;
		}

		const {onEvent, ...rest} = this.#options;
		const exchange = new Exchange({
			...rest,
			id,
			caller,
			body,
			isLongBody: reading === 'long',
			response,
			onEvent,
			isLastAnswer: () => this.#isClosing,
		});
		this.#exchanges.set(id, exchange);
		response.once('close', () => {
			if (!response.writableFinished) {
				// The attempts are still there to be cancelled.
				this.#exchanges.set(id, exchange);
				onEvent({type: 'request-cancelled', requestId: id});
				this.#exchanges.delete(id);
			}
		});
		onEvent({
			type: 'request-arrived',
			requestId: id,
			callerId: caller.requestId,
			hostName: caller.hostName,
			path: caller.path,
			keyHash: caller.keyHash,
			affinity: caller.affinity,
			bodyBytes: body.length,
			arrivedAt,
			timeLeft: caller.timeLeft,
		});
	}
}
