import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
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
import type {AnswerHead} from './answer-reader.js';
import {Attempt, AttemptListener, type AttemptReport} from './attempt.js';
import type {CallerBody} from './caller-body.js';
import type {CallerRequest} from './caller-request.js';
import {toRequestHead} from './request-head.js';
import type {ServerConnection} from './server-connection.js';
import type {ServerConnections} from './server-connections.js';
import type {WireNames} from './wire-names.js';

type Forward = Extract<SteeringEffect, {type: 'forward'}>;

export type ExchangeOptions = {
	/** This host's own id of the request; a caller's may come twice. */
	readonly id: string;
	readonly caller: CallerRequest;
	readonly body: CallerBody;
	/** Whether the body is longer than what is kept of it. */
	readonly isLongBody: boolean;
	readonly response: ServerResponse;
	readonly connections: ServerConnections;
	readonly names: WireNames;
	readonly clock: Clock;
	readonly onEvent: (event: SteeringEvent) => void;
	/** The caller's connection should end with this answer. */
	readonly isLastAnswer: () => boolean;
};

const droppedHeaders = new Set(hopByHopHeaders);
const lineEnd = '\r\n';

/** One request of a caller and the attempts made for it. */
export class Exchange extends AttemptListener {
	readonly #options: ExchangeOptions;
	readonly #attempts = new Map<
		number,
		{readonly attempt: Attempt; readonly connection: ServerConnection}
	>();

	#isBodyPassed = false;

	constructor(options: ExchangeOptions) {
		super();
		this.#options = options;
	}

	forward({
		attempt: number,
		server,
		customer,
		deadline,
		isIdempotent,
	}: Forward): void {
		const {caller, names, connections, clock, body, isLongBody} = this.#options;
		const attempt = new Attempt({
			number,
			server,
			requestId: caller.requestId,
			isHead: caller.method === 'HEAD',
			names,
			listener: this,
		});
		const connection = connections.take(server, isIdempotent);
		this.#attempts.set(number, {attempt, connection});
		const head = toRequestHead({
			caller,
			names,
			server,
			customer,
			timeLeft: deadline - clock.now(),
			bodyBytes: isLongBody ? caller.bodyBytes : body.length,
		});
		if (isLongBody) {
			void this.#passBody(connection, attempt, head);
			return;
		}

		connection.send(attempt, Buffer.concat([head, body.kept]), true);
	}

	deliver(number: number): void {
		const answer = this.#attempts.get(number)?.attempt.answer;
		if (answer === undefined) {
			this.#options.response.destroy();
			return;
		}

		const {head, body} = answer;
		this.#writeHead(head, body.length);
		this.#options.response.end(body);
	}

	cancelAttempt(number: number): void {
		const entry = this.#attempts.get(number);
		if (entry !== undefined) {
			this.#attempts.delete(number);
			entry.connection.close();
			const {connections, clock} = this.#options;
			connections.closeOlder(entry.attempt.server, clock.now());
		}
	}

	refuse(kind: ErrorKind, retryAfter: Milliseconds | undefined): void {
		const {response, id, caller, names} = this.#options;
		sendRefusal(response, kind, {
			id,
			retryAfter,
			isLast: this.#options.isLastAnswer(),
			echo: [names.requestId, caller.requestId],
		});
	}

	override onLongAnswer(head: AnswerHead, first: Buffer): void {
		this.#writeHead(head, undefined);
		this.onLongBody(first);
	}

	override onLongBody(chunk: Buffer): void {
		const {response} = this.#options;
		if (response.write(chunk)) {
			return;
		}

		for (const {connection} of this.#attempts.values()) {
			connection.pause();
			response.once('drain', () => {
				connection.resume();
			});
		}
	}

	override onLongEnd(): void {
		this.#options.response.end();
	}

	override onLongCut(): void {
		this.#options.response.destroy();
	}

	override onEnded(attempt: Attempt, report: AttemptReport): void {
		if (!this.#attempts.has(attempt.number)) {
			return;
		}

		const {id, onEvent} = this.#options;
		const ended: SteeringAttemptEnded = {
			type: 'attempt-ended',
			requestId: id,
			attempt: attempt.number,
			outcome: report.outcome,
			status: report.status,
			isHeld: report.isHeld,
			isRepeatable: !this.#isBodyPassed && report.isHeld,
			load: report.load,
			connectTime: report.connectTime,
		};
		onEvent(ended);
	}

	async #passBody(
		connection: ServerConnection,
		attempt: Attempt,
		head: Buffer,
	): Promise<void> {
		const {body, caller, response} = this.#options;
		const isChunked = caller.bodyBytes === undefined;
		this.#isBodyPassed = true;
		connection.send(
			attempt,
			Buffer.concat([head, toPiece(body.kept, isChunked)]),
			false,
		);
		try {
			for await (const chunk of body.readRest()) {
				if (!connection.write(toPiece(chunk, isChunked))) {
					await new Promise<void>((resolve) => {
						connection.onDrain(resolve);
					});
				}
			}

			if (isChunked) {
				connection.write(Buffer.from(`0${lineEnd}${lineEnd}`));
			}

			connection.endBody();
		} catch {
			// The caller cut its body: the server must not take it as whole.
			connection.close();
			response.destroy();
		}
	}

	#writeHead(head: AnswerHead, length: number | undefined): void {
		const {response} = this.#options;
		response.sendDate = false;
		for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
			const name = head.rawHeaders[index]!;
			const lower = name.toLowerCase();
			const isOwn = lower === 'content-length' && length !== undefined;
			if (!droppedHeaders.has(lower) && !isOwn) {
				response.appendHeader(name, head.rawHeaders[index + 1]!);
			}
		}

		if (length !== undefined && this.#options.caller.method !== 'HEAD') {
			response.setHeader('content-length', length);
		}

		if (this.#options.isLastAnswer()) {
			response.setHeader('connection', 'close');
		}

		response.writeHead(head.status);
	}
}

function toPiece(bytes: Buffer, isChunked: boolean): Buffer {
	return isChunked && bytes.length > 0
		? Buffer.concat([
				Buffer.from(`${bytes.length.toString(16)}${lineEnd}`),
				bytes,
				Buffer.from(lineEnd),
			])
		: bytes;
}

export type RefusalOptions = {
	readonly id: string;
	readonly retryAfter: Milliseconds | undefined;
	/** Close the caller's connection after it. */
	readonly isLast: boolean;
	readonly echo: readonly [name: string, value: string | undefined];
};

/** Answers with an error, or cuts an answer that has begun. */
export function sendRefusal(
	response: ServerResponse,
	kind: ErrorKind,
	{id, retryAfter, isLast, echo}: RefusalOptions,
): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const answer = getErrorResponse(kind);
	const pause = retryAfter ?? answer.retryAfter;
	const body = JSON.stringify(toRefusalBody(kind, id));
	response.statusCode = answer.httpStatus;
	response.setHeader('content-type', 'application/json');
	response.setHeader('content-length', Buffer.byteLength(body));
	const [name, value] = echo;
	if (value !== undefined) {
		response.setHeader(name, value);
	}

	if (pause !== undefined) {
		response.setHeader('retry-after', (pause / 1000).toFixed(2));
	}

	if (isLast) {
		response.setHeader('connection', 'close');
	}

	response.end(body);
}
