import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import type {Milliseconds} from '@parsleyvale/shared';

/** How a link forwards data. */
export type LinkMode =
	| 'sound'
	/** Data is delayed in both directions by the link's delay. */
	| 'slow'
	/** Existing and new connections are reset. */
	| 'resets'
	/** Data is dropped in both directions; connections stay open. */
	| 'silent'
	/** Data from the upstream side is dropped. */
	| 'one-way';

export type FaultyLinkOptions = {
	readonly host: string;
	readonly targetHost: string;
	readonly targetPort: number;
	/** One-way delay in mode 'slow'. */
	readonly delay: Milliseconds;
};

/** A TCP proxy that injects faults into connections. */
export class FaultyLink {
	readonly #options: FaultyLinkOptions;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	#mode: LinkMode = 'sound';

	constructor(options: FaultyLinkOptions) {
		this.#options = options;
		this.#server = createServer({allowHalfOpen: true}, (client) => {
			this.#accept(client);
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	get mode(): LinkMode {
		return this.#mode;
	}

	set mode(mode: LinkMode) {
		const previous = this.#mode;
		this.#mode = mode;
		// Data dropped during a partition is lost, so its connections cannot resume.
		if (mode === 'resets' || previous === 'silent' || previous === 'one-way') {
			this.#resetConnections();
		}
	}

	async listen(): Promise<this> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, this.#options.host, resolve);
		});
		return this;
	}

	close(): void {
		this.#server.close();
		this.#resetConnections();
	}

	#accept(client: Socket): void {
		if (this.#mode === 'resets') {
			client.resetAndDestroy();
			return;
		}

		const {targetHost, targetPort} = this.#options;
		const upstream = connect({
			host: targetHost,
			port: targetPort,
			allowHalfOpen: true,
		});
		this.#pipe(client, upstream, (mode) => mode !== 'silent');
		this.#pipe(
			upstream,
			client,
			(mode) => mode !== 'silent' && mode !== 'one-way',
		);
	}

	#pipe(
		source: Socket,
		destination: Socket,
		isForwarded: (mode: LinkMode) => boolean,
	): void {
		this.#sockets.add(source);
		const forward = (action: () => void) => {
			if (!isForwarded(this.#mode)) {
				return;
			}

			if (this.#mode === 'slow') {
				setTimeout(action, this.#options.delay);
			} else {
				action();
			}
		};

		source.on('data', (chunk: Uint8Array) => {
			forward(() => destination.write(chunk));
		});
		source.on('end', () => {
			forward(() => destination.end());
		});
		source.on('error', () => {
			forward(() => {
				destination.resetAndDestroy();
			});
		});
		source.on('close', () => {
			this.#sockets.delete(source);
			forward(() => {
				destination.destroy();
			});
		});
	}

	#resetConnections(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}
}
