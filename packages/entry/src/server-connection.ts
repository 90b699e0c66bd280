import type {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {
	ResponseListener,
	ResponseParser,
	type ResponseHead,
} from './response-parser.js';

/** Why a request got no complete response. */
export type ExchangeFailure = {
	readonly reason: string;
	/** Whether any byte of the request was written to the server. */
	readonly wasSent: boolean;
	/** Whether the server closed or reset the connection. */
	readonly wasClosedByServer: boolean;
};

/** A request to a backend server and the handlers of its response. */
export abstract class ServerExchange {
	/** The id that the response must echo; undefined: none was sent. */
	abstract get requestId(): string | undefined;
	abstract get isHead(): boolean;
	/**
	 * Called on an established connection, before the first byte is written.
	 * `roundTripTime` is undefined on a reused connection.
	 */
	abstract onConnected(roundTripTime: Milliseconds | undefined): void;
	abstract onResponseHead(head: ResponseHead): void;
	abstract onResponseBody(chunk: Buffer): void;
	abstract onResponseEnd(): void;
	abstract onFailed(failure: ExchangeFailure): void;
}

export type ServerConnectionOptions = {
	readonly address: string;
	readonly port: number;
	readonly clock: Clock;
	/** Lower-case name of the response header that echoes the request id. */
	readonly requestIdHeader: string;
	/** Called when the connection is ready for another request. */
	readonly onIdle: (connection: ServerConnection) => void;
	readonly onClosed: (connection: ServerConnection) => void;
};

/** Codes of socket errors after which the server has closed the connection. */
const closingCodes: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE']);
/** Covers the longest round trip and the retransmission of a lost packet. */
const connectTimeout: Milliseconds = 400;
/** Used for servers that send no `keep-alive` timeout. */
const defaultIdleTimeout: Milliseconds = 4000;
/** A connection is no longer reused this long before the server's own timeout. */
const idleTimeoutMargin: Milliseconds = 1000;

/**
 * A connection to a backend server that carries one request at a time. A
 * response with the id of another request is read and discarded, so that it
 * never reaches the wrong caller. One without an id may belong to any request,
 * so it fails the pending one.
 */
export class ServerConnection extends ResponseListener {
	readonly #options: ServerConnectionOptions;
	readonly #socket: Socket;
	readonly #parser = new ResponseParser(this);
	readonly #openedAt: Milliseconds;
	#exchange: ServerExchange | undefined;
	/** The request, as long as none of it has been written to the socket. */
	#request: readonly Buffer[] | undefined;
	readonly #drainListeners: Array<() => void> = [];
	#hasSentBytes = false;
	#isRequestComplete = false;
	#isClosed = false;
	#isReusable = true;
	#isMismatched = false;
	#isUnidentified = false;
	#isResponseComplete = false;
	#idleTimeout = defaultIdleTimeout;
	#lastUsedAt: Milliseconds;

	constructor(options: ServerConnectionOptions) {
		super();
		const {address, port, clock} = options;
		this.#options = options;
		this.#openedAt = clock.now();
		this.#lastUsedAt = this.#openedAt;
		this.#socket = connect({host: address, port, noDelay: true});
		this.#socket.setTimeout(connectTimeout, () => {
			this.#terminate('connect timeout');
		});
		this.#socket.once('connect', () => {
			this.#socket.setTimeout(0);
			this.#onConnected(clock.now() - this.#openedAt);
		});
		this.#socket.on('data', (bytes) => {
			this.#onData(bytes);
		});
		this.#socket.on('drain', () => {
			this.#notifyDrained();
		});
		this.#socket.on('end', () => {
			this.#onSocketEnd();
		});
		this.#socket.on('error', (error) => {
			const {code = error.message} = error as NodeJS.ErrnoException;
			this.#terminate(code, closingCodes.has(code));
		});
		this.#socket.on('close', () => {
			this.#terminate('connection closed', true);
		});
	}

	/** When the last response completed; the creation time before the first one. */
	get lastUsedAt(): Milliseconds {
		return this.#lastUsedAt;
	}

	/** Whether the connection is open and within the server's idle timeout. */
	isUsable(now: Milliseconds): boolean {
		return !this.#isClosed && now - this.#lastUsedAt < this.#idleTimeout;
	}

	/** Sends a request; unless it is complete, `write` sends the rest of its body. */
	send(
		exchange: ServerExchange,
		request: Buffer | readonly Buffer[],
		isComplete: boolean,
	): void {
		this.#exchange = exchange;
		this.#request = [request].flat();
		this.#isRequestComplete = isComplete;
		this.#hasSentBytes = false;
		this.#isResponseComplete = false;
		if (!this.#socket.connecting) {
			this.#writeRequest(undefined);
		}
	}

	/**
	 * Sends a part of the body, or discards it if the connection is closed; false:
	 * wait for `onDrain` before the next one.
	 */
	write(body: Buffer | readonly Buffer[]): boolean {
		if (this.#isClosed) {
			return true;
		}

		const parts = [body].flat();
		if (this.#request !== undefined) {
			// Not connected yet; a socket would send the part before the head.
			this.#request = [...this.#request, ...parts];
			return false;
		}

		return this.#writeParts(parts);
	}

	/** Calls the listener once when more can be written, or the connection is closed. */
	onDrain(listener: () => void): void {
		if (this.#isClosed) {
			listener();
		} else {
			this.#drainListeners.push(listener);
		}
	}

	/** Marks the body sent with `write` as complete. */
	endBody(): void {
		this.#isRequestComplete = true;
	}

	/** Stops reading the response; does nothing once the connection no longer serves the exchange. */
	pause(exchange: ServerExchange): void {
		if (this.#exchange === exchange) {
			this.#socket.pause();
		}
	}

	resume(exchange: ServerExchange): void {
		if (this.#exchange === exchange) {
			this.#socket.resume();
		}
	}

	/** Closes the connection without notifying its pending request. */
	close(): void {
		this.#exchange = undefined;
		this.#terminate('closed by this host');
	}

	override onHead(head: ResponseHead): boolean {
		const exchange = this.#exchange;
		const echoedId = findRawHeader(
			head.rawHeaders,
			this.#options.requestIdHeader,
		);
		this.#isMismatched =
			exchange === undefined ||
			this.#isResponseComplete ||
			echoedId !== exchange.requestId;
		if (this.#isMismatched) {
			this.#isUnidentified ||= echoedId === undefined;
			this.#isReusable = false;
			return false;
		}

		this.#isReusable &&= head.shouldKeepAlive && this.#isRequestComplete;
		this.#idleTimeout = parseIdleTimeout(head.rawHeaders);
		exchange!.onResponseHead(head);
		return exchange!.isHead;
	}

	override onBody(chunk: Buffer): void {
		if (!this.#isMismatched) {
			this.#exchange?.onResponseBody(chunk);
		}
	}

	override onEnd(hasMoreBytes: boolean): void {
		if (this.#isMismatched) {
			return;
		}

		// Further bytes belong to no request. The connection is not reused, as they
		// may be the beginning of a head that the next response would continue.
		this.#isReusable &&= !hasMoreBytes;
		// The exchange is notified only after all received bytes are parsed, as they
		// may contain an unsolicited second response.
		this.#isResponseComplete = true;
	}

	#onConnected(roundTripTime: Milliseconds): void {
		if (this.#exchange !== undefined) {
			this.#writeRequest(roundTripTime);
		}
	}

	#writeRequest(roundTripTime: Milliseconds | undefined): void {
		this.#exchange?.onConnected(roundTripTime);
		if (this.#request !== undefined && !this.#isClosed) {
			this.#hasSentBytes = true;
			const canContinue = this.#writeParts(this.#request);
			this.#request = undefined;
			if (canContinue) {
				this.#notifyDrained();
			}
		}
	}

	/** Writes the parts without joining them, which would need their memory twice. */
	#writeParts(parts: readonly Buffer[]): boolean {
		this.#socket.cork();
		for (const part of parts) {
			this.#socket.write(part);
		}

		this.#socket.uncork();
		return !this.#socket.writableNeedDrain;
	}

	#notifyDrained(): void {
		for (const listener of this.#drainListeners.splice(0)) {
			listener();
		}
	}

	#onData(bytes: Buffer): void {
		if (this.#exchange === undefined) {
			// No request is pending, so the bytes cannot be a valid response.
			this.#terminate('data received without a pending request');
			return;
		}

		if (!this.#parser.parse(bytes) && !this.#isResponseComplete) {
			this.#terminate('malformed response');
			return;
		}

		if (this.#isResponseComplete) {
			this.#complete();
		} else if (this.#isUnidentified) {
			this.#terminate('response without the id of its request');
		}
	}

	#onSocketEnd(): void {
		// Node reports a reset that arrives with data as an orderly end, but a
		// reset socket has no remote address. The address must not be read
		// earlier, since Node caches it.
		const isReset = this.#socket.remoteAddress === undefined;
		const isOrderlyEnd = !isReset && !this.#isSending && this.#parser.finish();
		this.#isReusable = false;
		if (isOrderlyEnd && this.#isResponseComplete) {
			this.#complete();
		} else {
			this.#terminate('response truncated', true);
		}
	}

	/**
	 * Whether a part of the request is still to be written. A server that closes its
	 * connection meanwhile resets it, so that the end of its response may be missing.
	 */
	get #isSending(): boolean {
		return !this.#isRequestComplete || this.#socket.writableLength > 0;
	}

	#complete(): void {
		const exchange = this.#exchange;
		this.#exchange = undefined;
		this.#lastUsedAt = this.#options.clock.now();
		// The exchange may have paused it; the next one would never get its response.
		this.#socket.resume();
		if (this.#isReusable && !this.#isClosed) {
			this.#options.onIdle(this);
		} else {
			this.#terminate('connection not reusable');
		}

		exchange?.onResponseEnd();
	}

	#terminate(reason: string, wasClosedByServer = false): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#socket.destroy();
		this.#options.onClosed(this);
		this.#notifyDrained();
		const exchange = this.#exchange;
		this.#exchange = undefined;
		exchange?.onFailed({
			reason,
			wasSent: this.#hasSentBytes,
			wasClosedByServer,
		});
	}
}

/**
 * Returns the value of the first header with the given lower-case name.
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

function parseIdleTimeout(rawHeaders: readonly string[]): Milliseconds {
	const value = findRawHeader(rawHeaders, 'keep-alive') ?? '';
	const seconds = /timeout=(\d+)/i.exec(value)?.[1];
	return seconds === undefined
		? defaultIdleTimeout
		: Math.max(0, Number(seconds) * 1000 - idleTimeoutMargin);
}
