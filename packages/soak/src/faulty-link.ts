import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import type {Milliseconds} from '@parsleyvale/shared';

/** What a link does to the bytes on it. */
export type LinkMode =
	| 'sound'
	/** Each direction is held up by the link's delay. */
	| 'slow'
	/** Connections are reset, new ones too. */
	| 'resets'
	/** Nothing passes, and nothing is closed. */
	| 'silent'
	/** Bytes of the far side do not come back. */
	| 'one-way';

export type FaultyLinkOptions = {
	readonly host: string;
	readonly toHost: string;
	readonly toPort: number;
	/** One-way delay of the mode 'slow'. */
	readonly delay: Milliseconds;
};

/** A TCP proxy on loopback that injects faults into connections. */
export class FaultyLink {
	readonly #options: FaultyLinkOptions;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	#mode: LinkMode = 'sound';

	constructor(options: FaultyLinkOptions) {
		this.#options = options;
		this.#server = createServer({allowHalfOpen: true}, (near) => {
			this.#join(near);
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	get mode(): LinkMode {
		return this.#mode;
	}

	set mode(mode: LinkMode) {
		const before = this.#mode;
		this.#mode = mode;
		// What was held up is lost, as behind a partition.
		if (mode === 'resets' || before === 'silent' || before === 'one-way') {
			this.#resetAll();
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
		this.#resetAll();
	}

	#join(near: Socket): void {
		if (this.#mode === 'resets') {
			near.resetAndDestroy();
			return;
		}

		const {toHost, toPort} = this.#options;
		const far = connect({host: toHost, port: toPort, allowHalfOpen: true});
		this.#pipe(near, far, (mode) => mode !== 'silent');
		this.#pipe(far, near, (mode) => mode !== 'silent' && mode !== 'one-way');
	}

	#pipe(from: Socket, to: Socket, passes: (mode: LinkMode) => boolean): void {
		this.#sockets.add(from);
		const pass = (action: () => void) => {
			if (!passes(this.#mode)) {
				return;
			}

			if (this.#mode === 'slow') {
				setTimeout(action, this.#options.delay);
			} else {
				action();
			}
		};

		from.on('data', (bytes: Uint8Array) => {
			pass(() => to.write(bytes));
		});
		from.on('end', () => {
			pass(() => to.end());
		});
		from.on('error', () => {
			pass(() => {
				to.resetAndDestroy();
			});
		});
		from.on('close', () => {
			this.#sockets.delete(from);
			pass(() => {
				to.destroy();
			});
		});
	}

	#resetAll(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}
}
