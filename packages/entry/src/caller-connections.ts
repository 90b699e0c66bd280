import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {HeldBytes} from '@parsleyvale/held-bytes';
import type {RequestPipelines} from '@parsleyvale/pipelining';
import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {CallerConnection} from './caller-connection.js';
import type {
	ConnectionLimitName,
	ConnectionLimits,
} from './connection-limits.js';

const checkInterval: Milliseconds = 500;

export type CallerConnectionsOptions = {
	readonly server: Server;
	readonly pipelines: RequestPipelines;
	readonly clock: Clock;
	readonly heldBytes: HeldBytes;
	readonly limits: ConnectionLimits;
	readonly onLimit: (limit: ConnectionLimitName) => void;
};

/** The open connections of callers, and the limits that they must keep. */
export class CallerConnections {
	readonly #options: CallerConnectionsOptions;
	readonly #connections = new Map<Socket, CallerConnection>();
	readonly #countsByAddress = new Map<string, number>();
	/** Undefined while no connection is open, so that an idle host does not wake up for it. */
	#checkTimer: NodeJS.Timeout | undefined;
	#headTimeout: Milliseconds = Number.POSITIVE_INFINITY;

	constructor(options: CallerConnectionsOptions) {
		this.#options = options;
		options.server.on('connection', (socket) => {
			this.#add(socket);
		});
	}

	setHeadTimeout(headTimeout: Milliseconds): void {
		this.#headTimeout = headTimeout;
	}

	/** Undefined once the connection has closed. */
	get(socket: Socket): CallerConnection | undefined {
		return this.#connections.get(socket);
	}

	/** Closes a connection after its last response, and reads a bounded part of what the caller still sends. */
	closeAfterRefusal(socket: Socket): void {
		const {pipelines, onLimit, limits} = this.#options;
		const maximumBytes = socket.bytesRead + limits.refusedRestBytes;
		// Node.js would close the socket at once, and the caller's system might
		// discard the refusal for the reset that follows.
		socket.destroySoon = () => {
			socket.end();
		};

		const onData = () => {
			if (socket.bytesRead > maximumBytes) {
				socket.off('data', onData);
				onLimit('refused-rest');
				pipelines.pauseReading(socket, 'refused-rest');
			}
		};

		socket.on('data', onData);
	}

	close(): void {
		this.#stopChecking();
	}

	#startChecking(): void {
		if (this.#checkTimer === undefined) {
			this.#checkTimer = setInterval(() => {
				this.#check();
			}, checkInterval);
			this.#checkTimer.unref();
		}
	}

	#stopChecking(): void {
		clearInterval(this.#checkTimer);
		this.#checkTimer = undefined;
	}

	/** Closes a connection that the caller leaves open after this host has ended it. */
	#closeAfterEnd(socket: Socket): void {
		const timer = setTimeout(() => {
			socket.destroy();
		}, this.#options.limits.refusedRestDuration);
		timer.unref();
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	#add(socket: Socket): void {
		const {clock, heldBytes, limits, pipelines, onLimit} = this.#options;
		const address = socket.remoteAddress ?? '';
		const count = this.#countsByAddress.get(address) ?? 0;
		if (count >= limits.connectionsPerAddress) {
			onLimit('connections-per-address');
			socket.destroy();
			return;
		}

		this.#countsByAddress.set(address, count + 1);
		const connection = new CallerConnection({
			socket,
			clock,
			heldBytes,
			limits,
			pauseReading(reason) {
				pipelines.pauseReading(socket, reason);
			},
			resumeReading(reason) {
				pipelines.resumeReading(socket, reason);
			},
			onLimit,
		});
		this.#connections.set(socket, connection);
		this.#startChecking();
		socket.once('finish', () => {
			this.#closeAfterEnd(socket);
		});
		socket.once('close', () => {
			connection.entry.close();
			this.#connections.delete(socket);
			this.#removeAddress(address);
			if (this.#connections.size === 0) {
				this.#stopChecking();
			}
		});
	}

	#removeAddress(address: string): void {
		const count = this.#countsByAddress.get(address) ?? 0;
		if (count > 1) {
			this.#countsByAddress.set(address, count - 1);
		} else {
			this.#countsByAddress.delete(address);
		}
	}

	#check(): void {
		const now = this.#options.clock.now();
		for (const [socket, connection] of this.#connections) {
			const limit = connection.check(now, this.#headTimeout);
			if (limit !== undefined) {
				this.#options.onLimit(limit);
				this.#closeLate(socket, limit);
			}
		}
	}

	/** A head without end has not run, and is refused so; other requests may have run. */
	#closeLate(socket: Socket, limit: ConnectionLimitName): void {
		if (limit === 'head-timeout' && socket.writable) {
			this.closeAfterRefusal(socket);
			const code = 'ERR_HTTP_REQUEST_TIMEOUT';
			const error = Object.assign(new Error('The head is late.'), {code});
			this.#options.server.emit('clientError', error, socket);
		} else {
			socket.destroy();
		}
	}
}
