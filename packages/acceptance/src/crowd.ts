import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import type {Milliseconds} from '@parsleyvale/shared';

export type CrowdOptions = {
	readonly count: number;
	readonly address: string;
	readonly port: number;
	/** What each client sends, in this order, before it keeps its connection open. */
	readonly createBytes: () => Iterable<Buffer>;
	/** Pause of each client between two parts. */
	readonly pauseBetweenParts?: Milliseconds;
	readonly isReading?: boolean;
};

/** Clients that send raw bytes at the same time and keep their connections open. */
export class Crowd {
	readonly #options: CrowdOptions;
	readonly #sockets: Socket[] = [];
	#isClosed = false;

	constructor(options: CrowdOptions) {
		this.#options = options;
	}

	/** Lets all clients send for this time; they go on until the crowd is closed. */
	async run(duration: Milliseconds): Promise<void> {
		for (let index = 0; index < this.#options.count; index++) {
			void this.#send(this.#connect());
		}

		await wait(duration);
	}

	close(): void {
		this.#isClosed = true;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#connect(): Socket {
		const {address, port, isReading = true} = this.#options;
		const socket = connect({port, host: address, noDelay: true});
		this.#sockets.push(socket);
		socket.on('error', () => undefined);
		if (isReading) {
			socket.resume();
		}

		return socket;
	}

	async #send(socket: Socket): Promise<void> {
		const {createBytes, pauseBetweenParts = 0} = this.#options;
		const closed = waitForEvent(socket, 'close');
		for (const bytes of createBytes()) {
			if (this.#isClosed || socket.destroyed) {
				return;
			}

			if (!socket.write(bytes)) {
				await Promise.race([waitForEvent(socket, 'drain'), closed]);
			}

			if (pauseBetweenParts > 0) {
				await wait(pauseBetweenParts);
			}
		}
	}
}

async function waitForEvent(
	socket: Socket,
	name: 'close' | 'drain',
): Promise<void> {
	await new Promise<void>((resolve) => {
		socket.once(name, () => {
			resolve();
		});
	});
}

/**
 * Yields a head and then the same bytes again and again.
 *
 * @example
 * const crowd = new Crowd({
 * 	...options,
 * 	createBytes: () => repeatBytes(head, '1\r\nx\r\n', 1000),
 * });
 */
export function* repeatBytes(
	head: string,
	part: string,
	count = Number.POSITIVE_INFINITY,
): Generator<Buffer> {
	yield Buffer.from(head);
	const bytes = Buffer.from(part);
	for (let index = 0; index < count; index++) {
		yield bytes;
	}
}
