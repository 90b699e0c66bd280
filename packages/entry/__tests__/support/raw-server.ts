import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';

export type RawRequest = {
	readonly socket: Socket;
	readonly text: string;
	/** Returns the value of a header; empty if it is missing. */
	readonly header: (name: string) => string;
};

/** TCP server whose responses are written by the test, byte for byte. */
export class RawServer {
	readonly requests: RawRequest[] = [];
	connectionCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(onRequest: (request: RawRequest, requestNumber: number) => void) {
		this.#server = createServer((socket) => {
			this.connectionCount += 1;
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => this.#sockets.delete(socket));
			let text = '';
			socket.on('data', (bytes) => {
				text += bytes.toString('latin1');
				const headerEnd = text.indexOf('\r\n\r\n');
				const bodyLength = Number(
					/content-length: (\d+)/i.exec(text)?.[1] ?? 0,
				);
				if (headerEnd !== -1 && text.length >= headerEnd + 4 + bodyLength) {
					const request = createRequest(socket, text);
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

function createRequest(socket: Socket, text: string): RawRequest {
	const header = (name: string) =>
		new RegExp(`^${name}: (.*)$`, 'im').exec(text)?.[1]?.trim() ?? '';
	return {socket, text, header};
}

/** Formats a complete response with the given request id. */
export function formatResponse(id: string, body = 'whole'): string {
	return (
		'HTTP/1.1 200 OK\r\n' +
		`x-id: ${id}\r\nx-seal: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`
	);
}
