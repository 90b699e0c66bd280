import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import type {HeldBytes} from '@parsleyvale/held-bytes';
import type {RequestPipelines} from '@parsleyvale/pipelining';
import type {ClientLimits, Clock, Milliseconds} from '@parsleyvale/shared';
import type {LimitReporter} from '@parsleyvale/telemetry';
import {CallerConnection} from './caller-connection.js';

const checkInterval: Milliseconds = 500;

export type CallerConnectionsOptions = {
	readonly server: Server;
	readonly pipelines: RequestPipelines;
	readonly heldBytes: HeldBytes;
	readonly clock: Clock;
	readonly limits: ClientLimits;
	readonly reporter: LimitReporter;
};

/** The open connections of callers, bounded per address and checked for progress. */
export class CallerConnections {
	readonly #options: CallerConnectionsOptions;
	readonly #connections = new Map<Socket, CallerConnection>();
	readonly #countsByAddress = new Map<string, number>();
	readonly #checkTimer: NodeJS.Timeout;

	constructor(options: CallerConnectionsOptions) {
		this.#options = options;
		options.server.on('connection', (socket) => {
			this.#onConnection(socket);
		});
		this.#checkTimer = setInterval(() => {
			this.#check();
		}, checkInterval);
		this.#checkTimer.unref();
	}

	get(socket: Socket): CallerConnection {
		return this.#connections.get(socket) ?? this.#add(socket);
	}

	close(): void {
		clearInterval(this.#checkTimer);
	}

	#onConnection(socket: Socket): void {
		const {limits, reporter} = this.#options;
		const address = socket.remoteAddress ?? '';
		const count = this.#countsByAddress.get(address) ?? 0;
		if (count >= limits.connectionsPerAddress) {
			reporter.onReached('connections-per-address');
			socket.destroy();
			return;
		}

		this.#countsByAddress.set(address, count + 1);
		socket.once('close', () => {
			this.#onClosed(address);
		});
		this.#add(socket);
	}

	#onClosed(address: string): void {
		const count = this.#countsByAddress.get(address)! - 1;
		if (count === 0) {
			this.#countsByAddress.delete(address);
		} else {
			this.#countsByAddress.set(address, count);
		}
	}

	#add(socket: Socket): CallerConnection {
		const connection = new CallerConnection({
			...this.#options,
			socket,
			onTerminated: () => {
				this.#options.reporter.onReached('held-bytes-closed');
			},
		});
		this.#connections.set(socket, connection);
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		return connection;
	}

	#check(): void {
		for (const connection of this.#connections.values()) {
			const limit = connection.findExceededLimit();
			if (limit !== undefined) {
				this.#options.reporter.onReached(limit);
				connection.close();
			}
		}
	}
}
