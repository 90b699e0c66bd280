import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {ByteCharge, type HeldBytesEntry} from '@parsleyvale/held-bytes';
import {
	hopByHopHeaders,
	getErrorResponse,
	toRefusalBody,
	type Clock,
	type ErrorKind,
	type Milliseconds,
} from '@parsleyvale/shared';
import type {
	SteeringAttemptEnded,
	SteeringEffect,
	SteeringEvent,
} from '@parsleyvale/steering';
import {Attempt, AttemptListener, type AttemptResult} from './attempt.js';
import type {CallerRequest} from './caller-request.js';
import type {HeaderNames} from './header-names.js';
import type {RequestBody} from './request-body.js';
import {formatRequestHead} from './request-head.js';
import type {ResponseHead} from './response-parser.js';
import type {ServerConnection} from './server-connection.js';
import type {ServerConnections} from './server-connections.js';

type Forward = Extract<SteeringEffect, {type: 'forward'}>;

export type ExchangeOptions = {
	/** Id assigned by this host; the id sent by a caller need not be unique. */
	readonly id: string;
	readonly callerRequest: CallerRequest;
	readonly body: RequestBody;
	/** Whether the body exceeds the buffer and is streamed to the server. */
	readonly isStreamedBody: boolean;
	readonly response: ServerResponse;
	readonly connections: ServerConnections;
	readonly headerNames: HeaderNames;
	readonly clock: Clock;
	readonly onEvent: (event: SteeringEvent) => void;
	readonly onError: (error: unknown, operation: string) => void;
	/** Whether to close the caller's connection after the response. */
	readonly shouldCloseConnection: () => boolean;
	/** Account entry of the caller's connection; undefined: nothing is accounted for. */
	readonly heldBytes?: HeldBytesEntry | undefined;
};

const hopByHopHeaderSet = new Set(hopByHopHeaders);
const crlf = '\r\n';

/** A caller's request and the attempts made to serve it. */
export class Exchange extends AttemptListener {
	readonly #options: ExchangeOptions;
	readonly #attempts = new Map<
		number,
		{readonly attempt: Attempt; readonly connection: ServerConnection}
	>();

	/** Streamed parts of the response that wait to be written. */
	readonly #streamCharge: ByteCharge;
	#hasStreamedBody = false;
	/** Number of the attempt whose response is sent to the caller; no other one may write to it. */
	#writer: number | undefined;

	constructor(options: ExchangeOptions) {
		super();
		this.#options = options;
		this.#streamCharge = new ByteCharge(options.heldBytes);
		options.response.once('close', () => {
			this.#release();
		});
	}

	forward({
		attempt: attemptNumber,
		server,
		customer,
		deadline,
		isIdempotent,
	}: Forward): void {
		const {
			callerRequest,
			headerNames,
			connections,
			clock,
			body,
			isStreamedBody,
		} = this.#options;
		const attempt = new Attempt({
			number: attemptNumber,
			server,
			requestId: callerRequest.requestId,
			isHead: callerRequest.method === 'HEAD',
			headerNames,
			listener: this,
			heldBytes: this.#options.heldBytes,
		});
		const connection = connections.acquire(server, isIdempotent);
		this.#attempts.set(attemptNumber, {attempt, connection});
		const head = formatRequestHead({
			callerRequest,
			headerNames,
			server,
			customer,
			timeLeft: deadline - clock.now(),
			bodyBytes: isStreamedBody ? callerRequest.bodyBytes : body.length,
		});
		if (isStreamedBody) {
			void this.#streamBody(connection, attempt, head);
			return;
		}

		connection.send(attempt, [head, ...body.parts], true);
	}

	deliver(attemptNumber: number): void {
		const bufferedResponse =
			this.#attempts.get(attemptNumber)?.attempt.bufferedResponse;
		if (bufferedResponse === undefined) {
			this.#options.response.destroy();
			return;
		}

		if (!this.#tryBecomeWriter(attemptNumber)) {
			return;
		}

		const {head, body} = bufferedResponse;
		if (this.#startResponse(head, body.length)) {
			this.#options.response.end(body);
		}
	}

	cancelAttempt(attemptNumber: number): void {
		const entry = this.#attempts.get(attemptNumber);
		if (entry !== undefined) {
			this.#attempts.delete(attemptNumber);
			entry.attempt.close();
			entry.connection.close();
			const {connections, clock} = this.#options;
			connections.closeIdleBefore(entry.attempt.server, clock.now());
		}
	}

	refuse(kind: ErrorKind, retryAfter: Milliseconds | undefined): void {
		const {response, id, callerRequest, headerNames} = this.#options;
		sendRefusal(response, kind, {
			id,
			retryAfter,
			shouldCloseConnection: this.#options.shouldCloseConnection(),
			echoedHeader: [headerNames.requestId, callerRequest.requestId],
		});
	}

	override onStreamStart(
		attempt: Attempt,
		head: ResponseHead,
		firstBytes: Buffer,
	): void {
		if (!this.#tryBecomeWriter(attempt.number)) {
			this.cancelAttempt(attempt.number);
			return;
		}

		const {id, onEvent} = this.#options;
		onEvent({
			type: 'answer-started',
			requestId: id,
			attempt: attempt.number,
		});
		if (this.#startResponse(head, undefined)) {
			this.onStreamData(attempt, firstBytes);
		}
	}

	override onStreamData(attempt: Attempt, chunk: Buffer): void {
		const {response} = this.#options;
		if (!this.#isWriter(attempt)) {
			return;
		}

		this.#streamCharge.add(chunk.length);
		const canContinue = response.write(chunk, () => {
			this.#streamCharge.add(-chunk.length);
		});
		if (canContinue) {
			return;
		}

		const connection = this.#attempts.get(attempt.number)?.connection;
		connection?.pause(attempt);
		response.once('drain', () => {
			connection?.resume(attempt);
		});
	}

	override onStreamEnd(attempt: Attempt): void {
		if (this.#isWriter(attempt)) {
			this.#options.response.end();
		}
	}

	override onStreamAborted(attempt: Attempt): void {
		if (this.#isWriter(attempt)) {
			this.#options.response.destroy();
		}
	}

	override onEnded(attempt: Attempt, result: AttemptResult): void {
		if (!this.#attempts.has(attempt.number)) {
			return;
		}

		const {id, onEvent} = this.#options;
		const ended: SteeringAttemptEnded = {
			type: 'attempt-ended',
			requestId: id,
			attempt: attempt.number,
			outcome: result.outcome,
			status: result.status,
			isAnswerBuffered: result.isAnswerBuffered,
			isReplayable: !this.#hasStreamedBody && result.isAnswerBuffered,
			load: result.load,
			rateLimit: result.rateLimit,
			connectTime: result.connectTime,
			responseBytes: result.responseBytes,
			wasConnectionLost: result.wasConnectionLost,
			reason: result.reason,
		};
		onEvent(ended);
	}

	#release(): void {
		this.#streamCharge.close();
		for (const {attempt} of this.#attempts.values()) {
			attempt.close();
		}
	}

	#isWriter({number}: Attempt): boolean {
		return this.#writer === number;
	}

	/** Returns whether the response to the caller is free for the attempt. */
	#tryBecomeWriter(attemptNumber: number): boolean {
		this.#writer ??= attemptNumber;
		return this.#writer === attemptNumber;
	}

	async #streamBody(
		connection: ServerConnection,
		attempt: Attempt,
		head: Buffer,
	): Promise<void> {
		const {body, callerRequest, response} = this.#options;
		const isChunked = callerRequest.bodyBytes === undefined;
		this.#hasStreamedBody = true;
		connection.send(attempt, head, false);
		try {
			for await (const part of body.readRest()) {
				if (!connection.write(encodeBodyPart(part, isChunked))) {
					await new Promise<void>((resolve) => {
						connection.onDrain(resolve);
					});
				}
			}

			if (isChunked) {
				connection.write([Buffer.from(`0${crlf}${crlf}`)]);
			}

			connection.endBody();
		} catch {
			// The caller aborted its body: the server must not take it as complete.
			connection.close();
			response.destroy();
		}
	}

	/** Returns whether the head was written; if not, the caller's connection is closed. */
	#startResponse(head: ResponseHead, length: number | undefined): boolean {
		try {
			this.#writeHead(head, length);
			return true;
		} catch (error) {
			// The caller would wait in vain, as the request is no longer tracked.
			this.#options.onError(error, 'write response head');
			this.#options.response.destroy();
			return false;
		}
	}

	#writeHead(head: ResponseHead, length: number | undefined): void {
		const {response} = this.#options;
		response.sendDate = false;
		for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
			const name = head.rawHeaders[index]!;
			const lowerCaseName = name.toLowerCase();
			const isReplaced =
				lowerCaseName === 'content-length' && length !== undefined;
			if (!hopByHopHeaderSet.has(lowerCaseName) && !isReplaced) {
				response.appendHeader(name, head.rawHeaders[index + 1]!);
			}
		}

		if (length !== undefined && this.#options.callerRequest.method !== 'HEAD') {
			response.setHeader('content-length', length);
		}

		if (this.#options.shouldCloseConnection()) {
			response.setHeader('connection', 'close');
		}

		response.writeHead(head.status);
	}
}

function encodeBodyPart(bytes: Buffer, isChunked: boolean): Buffer[] {
	return isChunked
		? [
				Buffer.from(`${bytes.length.toString(16)}${crlf}`),
				bytes,
				Buffer.from(crlf),
			]
		: [bytes];
}

export type RefusalOptions = {
	readonly id: string;
	readonly retryAfter: Milliseconds | undefined;
	/** Whether to close the caller's connection after the refusal. */
	readonly shouldCloseConnection: boolean;
	/** The caller's request id, sent back if it sent one. */
	readonly echoedHeader: readonly [name: string, value: string | undefined];
};

/** Sends an error response, or aborts the response if it has already started. */
export function sendRefusal(
	response: ServerResponse,
	kind: ErrorKind,
	{id, retryAfter, shouldCloseConnection, echoedHeader}: RefusalOptions,
): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const errorAnswer = getErrorResponse(kind);
	const retryDelay = retryAfter ?? errorAnswer.retryAfter;
	const body = JSON.stringify(toRefusalBody(kind, id));
	response.statusCode = errorAnswer.httpStatus;
	response.setHeader('content-type', 'application/json');
	response.setHeader('content-length', Buffer.byteLength(body));
	const [name, value] = echoedHeader;
	if (value !== undefined) {
		response.setHeader(name, value);
	}

	if (retryDelay !== undefined) {
		response.setHeader('retry-after', (retryDelay / 1000).toFixed(2));
	}

	if (shouldCloseConnection) {
		response.setHeader('connection', 'close');
	}

	response.end(body);
}
