import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';

export type RawRequest = {
	readonly socket: Socket;
	readonly text: string;
	/** Value of a header, in lower case; empty when it is missing. */
	readonly header: (name: string) => string;
};

/** A server that answers with the very bytes that a test gives it. */
export class RawServer {
	readonly requests: RawRequest[] = [];
	connections = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(onRequest: (request: RawRequest, count: number) => void) {
		this.#server = createServer((socket) => {
			this.connections += 1;
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => this.#sockets.delete(socket));
			let text = '';
			socket.on('data', (bytes) => {
				text += bytes.toString('latin1');
				const end = text.indexOf('\r\n\r\n');
				const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
				if (end !== -1 && text.length >= end + 4 + length) {
					const request = toRequest(socket, text);
					text = '';
					this.requests.push(request);
					onRequest(request, this.requests.length);
				}
			});
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async listen(): Promise<this> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}

function toRequest(socket: Socket, text: string): RawRequest {
	const header = (name: string) =>
		new RegExp(`^${name}: (.*)$`, 'im').exec(text)?.[1]?.trim() ?? '';
	return {socket, text, header};
}

/** A whole answer with the given id. */
export function formatAnswer(id: string, body = 'whole'): string {
	return (
		'HTTP/1.1 200 OK\r\n' +
		`x-id: ${id}\r\nx-seal: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`
	);
}
