import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Methods that RFC 9110 defines as safe: only these may be processed concurrently on one connection. */
const safeMethods: ReadonlySet<string> = new Set([
	'GET',
	'HEAD',
	'OPTIONS',
	'TRACE',
]);

/**
 * Requests that may wait before reading stops. While a socket is not read, the
 * caller's disconnection goes unnoticed, so this exceeds what callers usually send ahead.
 */
const maximumWaitingRequests = 32;

type PipelinedRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly start: () => void;
};

export type ConnectionPipelineOptions = {
	readonly socket: Socket;
	/** Limit on the requests in progress at the same time. */
	readonly maximumOpenRequests: number;
	/** Whether the server is stopping, so that no request is started behind another one. */
	readonly isClosing: () => boolean;
	/** Whether received bytes wait to be processed, so that no more are to be read. */
	readonly hasQueuedBytes: () => boolean;
	/** Called when queued bytes may be processed. */
	readonly onProcessable: () => void;
};

/**
 * The requests of one connection. Node.js sends the responses in the order of the
 * requests; this class decides when each request starts and when to read more.
 */
export class ConnectionPipeline {
	readonly #options: ConnectionPipelineOptions;
	/** Started requests without a complete response, oldest first. */
	readonly #open: PipelinedRequest[] = [];
	/** Requests that were read and not started yet, oldest first. */
	readonly #waiting: PipelinedRequest[] = [];
	/** Reasons of the owner for which the socket is not read. */
	readonly #pauseReasons = new Set<string>();
	#endWith: string | undefined;

	constructor(options: ConnectionPipelineOptions) {
		this.#options = options;
		const {socket} = options;
		socket.on('resume', () => {
			// Node.js also resumes the socket to read the body of an open request.
			this.#updateReading();
		});
		socket.once('close', () => {
			this.#onSocketClosed();
		});
	}

	/** Calls `start` once the requests in front allow it. Nothing is started after `endWith`. */
	add(pipelinedRequest: PipelinedRequest): void {
		if (this.#endWith !== undefined) {
			return;
		}

		this.#waiting.push(pipelinedRequest);
		this.#startNext();
	}

	/** Whether no started request is behind this one. */
	isLast(response: ServerResponse): boolean {
		return this.#open.at(-1)?.response === response;
	}

	/**
	 * Sends the given bytes after the responses to all requests read so far, and
	 * closes the connection. They also answer a request whose body was being read.
	 */
	endWith(bytes: string): void {
		const unfinished = this.#takeUnfinished();
		if (unfinished?.response.headersSent) {
			this.#options.socket.destroy();
			return;
		}

		this.#endWith ??= bytes;
		this.#updateReading();
		this.#endWhenComplete();
	}

	/** Whether received bytes may be processed. */
	get canProcess(): boolean {
		return !this.#isHeld && !this.#isPausedByNode;
	}

	/** Must be called when no received bytes are queued any longer. */
	onQueueEmptied(): void {
		this.#updateReading();
	}

	/** Stops reading until `resumeReading` has been called for each reason. */
	pauseReading(reason: string): void {
		this.#pauseReasons.add(reason);
		this.#updateReading();
	}

	resumeReading(reason: string): void {
		if (this.#pauseReasons.delete(reason)) {
			this.#updateReading();
		}
	}

	#startNext(): void {
		while (this.#waiting.length > 0 && this.#mayStart(this.#waiting[0]!)) {
			const next = this.#waiting.shift()!;
			this.#open.push(next);
			next.response.once('close', () => {
				this.#onEnded(next);
			});
			next.start();
		}

		this.#updateReading();
	}

	#mayStart({request}: PipelinedRequest): boolean {
		const {maximumOpenRequests, isClosing} = this.#options;
		return (
			this.#open.length === 0 ||
			(this.#open.length < maximumOpenRequests &&
				!isClosing() &&
				isSafe(request) &&
				this.#open.every((other) => isSafe(other.request)))
		);
	}

	#onEnded(ended: PipelinedRequest): void {
		const index = this.#open.indexOf(ended);
		if (index !== -1) {
			this.#open.splice(index, 1);
		}

		if (this.#options.socket.writable) {
			this.#startNext();
			this.#endWhenComplete();
		}
	}

	/** Whether too many requests wait, one cannot be parsed, or the owner has paused reading. */
	get #isHeld(): boolean {
		return (
			this.#waiting.length >= maximumWaitingRequests ||
			this.#pauseReasons.size > 0 ||
			this.#endWith !== undefined
		);
	}

	/**
	 * Node.js pauses a connection whose responses are not read, and its parser with
	 * it, which then fails on further bytes.
	 */
	get #isPausedByNode(): boolean {
		return Reflect.get(this.#options.socket, '_paused') === true;
	}

	#updateReading(): void {
		const {socket, hasQueuedBytes, onProcessable} = this.#options;
		if (this.#isHeld || hasQueuedBytes()) {
			socket.pause();
		} else if (socket.isPaused() && !this.#isPausedByNode) {
			socket.resume();
		}

		if (this.canProcess) {
			onProcessable();
		}
	}

	/** Removes and returns the newest request if its body has not been read completely. */
	#takeUnfinished(): PipelinedRequest | undefined {
		const requests = this.#waiting.length > 0 ? this.#waiting : this.#open;
		return requests.at(-1)?.request.complete === false
			? requests.pop()
			: undefined;
	}

	#endWhenComplete(): void {
		const isComplete = this.#open.length === 0 && this.#waiting.length === 0;
		const {socket} = this.#options;
		if (this.#endWith !== undefined && isComplete && socket.writable) {
			socket.end(this.#endWith);
		}
	}

	/**
	 * Node.js emits `close` only on the response that is being sent. The others are
	 * notified here, so that their requests are cancelled, too.
	 */
	#onSocketClosed(): void {
		this.#waiting.length = 0;
		const unanswered = [...this.#open];
		for (const {response} of unanswered) {
			if (response.socket === null) {
				response.emit('close');
			}
		}
	}
}

function isSafe({method = ''}: IncomingMessage): boolean {
	return safeMethods.has(method);
}
