import {type Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {
	AnswerListener,
	AnswerReader,
	type AnswerHead,
} from './answer-reader.js';

/** One request on its way to a backend server. */
export abstract class ServerExchange {
	/** The id that the answer must echo; undefined: none was sent. */
	abstract get requestId(): string | undefined;
	abstract get isHead(): boolean;
	/** Called once the connection stands, before the first byte is written. */
	abstract onConnected(roundTrip: Milliseconds | undefined): void;
	abstract onAnswerHead(head: AnswerHead): void;
	abstract onAnswerBody(chunk: Buffer): void;
	abstract onAnswerEnd(): void;
	/** `wasSent`: bytes of the request were written to the server. */
	abstract onFailed(wasSent: boolean, reason: string): void;
}

export type ServerConnectionOptions = {
	readonly address: string;
	readonly port: number;
	readonly clock: Clock;
	/** Name of the header that echoes a request's id, in lower case. */
	readonly requestIdName: string;
	/** The connection may take another request. */
	readonly onIdle: (connection: ServerConnection) => void;
	readonly onClosed: (connection: ServerConnection) => void;
};

/** A server that does not accept within this time is taken as unreachable: the longest round trip and a lost packet. */
const connectTimeout: Milliseconds = 400;
/** Idle time of a connection whose server names none. */
const defaultIdleTime: Milliseconds = 4000;
/** A connection is given up this much before the server would. */
const idleMargin: Milliseconds = 1000;

/**
 * One connection to a backend server, with one request at a time. An answer
 * whose id is another's is read and dropped, so that it reaches no caller.
 */
export class ServerConnection extends AnswerListener {
	readonly #options: ServerConnectionOptions;
	readonly #socket: Socket;
	readonly #reader = new AnswerReader(this);
	readonly #openedAt: Milliseconds;
	#exchange: ServerExchange | undefined;
	#request: Buffer | undefined;
	#hasWritten = false;
	#isWritten = false;
	#isClosed = false;
	#isReusable = true;
	#isForeign = false;
	#hasEnded = false;
	#idleTime = defaultIdleTime;
	#usedAt: Milliseconds;

	constructor(options: ServerConnectionOptions) {
		super();
		const {address, port, clock} = options;
		this.#options = options;
		this.#openedAt = clock.now();
		this.#usedAt = this.#openedAt;
		this.#socket = connect({host: address, port, noDelay: true});
		this.#socket.setTimeout(connectTimeout, () => {
			this.#fail('connect timeout');
		});
		this.#socket.once('connect', () => {
			this.#socket.setTimeout(0);
			this.#onConnected(clock.now() - this.#openedAt);
		});
		this.#socket.on('data', (bytes) => {
			this.#onBytes(bytes);
		});
		this.#socket.on('end', () => {
			this.#onEnd();
		});
		this.#socket.on('error', (error) => {
			this.#fail((error as NodeJS.ErrnoException).code ?? error.message);
		});
		this.#socket.on('close', () => {
			this.#fail('closed');
		});
	}

	/** When the last answer came. */
	get usedAt(): Milliseconds {
		return this.#usedAt;
	}

	/** Whether the server still keeps it open, as far as it said. */
	isFresh(now: Milliseconds): boolean {
		return !this.#isClosed && now - this.#usedAt < this.#idleTime;
	}

	/** Sends a request; more of its body may follow by `write`. */
	send(exchange: ServerExchange, request: Buffer, isWhole: boolean): void {
		this.#exchange = exchange;
		this.#request = request;
		this.#isWritten = isWhole;
		this.#hasWritten = false;
		this.#hasEnded = false;
		if (!this.#socket.connecting) {
			this.#write(undefined);
		}
	}

	/** Sends more of the body; false: wait for `onDrain`. */
	write(chunk: Buffer): boolean {
		return this.#isClosed || this.#socket.write(chunk);
	}

	onDrain(listener: () => void): void {
		this.#socket.once('drain', listener);
	}

	/** The body that was sent by `write` is whole. */
	endBody(): void {
		this.#isWritten = true;
	}

	pause(): void {
		this.#socket.pause();
	}

	resume(): void {
		this.#socket.resume();
	}

	/** Closes the connection; its request, if any, is not told. */
	close(): void {
		this.#exchange = undefined;
		this.#fail('closed here');
	}

	override onHead(head: AnswerHead): boolean {
		const exchange = this.#exchange;
		const echoed = findRawHeader(head.rawHeaders, this.#options.requestIdName);
		this.#isForeign =
			exchange === undefined ||
			this.#hasEnded ||
			(echoed !== undefined && echoed !== exchange.requestId);
		if (this.#isForeign) {
			this.#isReusable = false;
			return false;
		}

		this.#isReusable &&= head.isKept && this.#isWritten;
		this.#idleTime = toIdleTime(head.rawHeaders);
		exchange!.onAnswerHead(head);
		return exchange!.isHead;
	}

	override onBody(chunk: Buffer): void {
		if (!this.#isForeign) {
			this.#exchange?.onAnswerBody(chunk);
		}
	}

	override onEnd(): void {
		if (this.#isForeign) {
			return;
		}

		// The exchange is told after the bytes at hand, which may hold an extra answer.
		this.#hasEnded = true;
	}

	#onConnected(roundTrip: Milliseconds): void {
		if (this.#exchange !== undefined) {
			this.#write(roundTrip);
		}
	}

	#write(roundTrip: Milliseconds | undefined): void {
		this.#exchange?.onConnected(roundTrip);
		if (this.#request !== undefined && !this.#isClosed) {
			this.#hasWritten = true;
			this.#socket.write(this.#request);
			this.#request = undefined;
		}
	}

	#onBytes(bytes: Buffer): void {
		if (this.#exchange === undefined) {
			// Nothing was asked: the bytes belong to no request.
			this.#fail('bytes without a request');
			return;
		}

		if (!this.#reader.read(bytes) && !this.#hasEnded) {
			this.#fail('malformed answer');
			return;
		}

		if (this.#hasEnded) {
			this.#complete();
		}
	}

	#onEnd(): void {
		// Node reports a reset that comes with data as an orderly end; a reset
		// connection has no peer any more. The address must not be read before:
		// Node remembers it.
		const isReset = this.#socket.remoteAddress === undefined;
		const isWhole = !isReset && this.#reader.end();
		this.#isReusable = false;
		if (isWhole && this.#hasEnded) {
			this.#complete();
		} else {
			this.#fail('answer cut');
		}
	}

	#complete(): void {
		const exchange = this.#exchange;
		this.#exchange = undefined;
		this.#usedAt = this.#options.clock.now();
		if (this.#isReusable && !this.#isClosed) {
			this.#options.onIdle(this);
		} else {
			this.#fail('not kept');
		}

		exchange?.onAnswerEnd();
	}

	#fail(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#socket.destroy();
		this.#options.onClosed(this);
		const exchange = this.#exchange;
		this.#exchange = undefined;
		exchange?.onFailed(this.#hasWritten, reason);
	}
}

/**
 * The value of the first header of that name, which is in lower case.
 *
 * @example
 * findRawHeader(['Connection', 'close'], 'connection'); // 'close'
 */
export function findRawHeader(
	rawHeaders: readonly string[],
	name: string,
): string | undefined {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === name) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
}

function toIdleTime(rawHeaders: readonly string[]): Milliseconds {
	const value = findRawHeader(rawHeaders, 'keep-alive') ?? '';
	const seconds = /timeout=(\d+)/i.exec(value)?.[1];
	return seconds === undefined
		? defaultIdleTime
		: Math.max(0, Number(seconds) * 1000 - idleMargin);
}
