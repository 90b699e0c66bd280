import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Milliseconds} from '@parsleyvale/shared';

const headerTimeout: Milliseconds = 5000;
const keepAliveTimeout: Milliseconds = 15_000;
/** For a connection without any activity, such as one whose response is not read. */
const idleTimeout: Milliseconds = 30_000;
const checkInterval: Milliseconds = 1000;
/** Node.js parses everything that it has read, however many responses are unread. */
const maximumOpenRequests = 16;

export type SmallServerOptions = {
	readonly maximumConnections: number;
	readonly maximumConnectionsPerAddress: number;
	/** How long a request may take to arrive completely. */
	readonly requestTimeout?: Milliseconds;
	/** Whether the body of this request is wanted; by default, none is. */
	readonly mayHaveBody?: (request: IncomingMessage) => boolean;
	/** `limit`: `connections`, `connections-per-address` or `unread-responses`. */
	readonly onLimitReached: (limit: string) => void;
	readonly onRequest: (
		request: IncomingMessage,
		response: ServerResponse,
	) => void;
};

/**
 * Creates a server for a small HTTP endpoint. Connections, unfinished requests and
 * idle times are bounded, and a body that is not wanted is not read.
 *
 * @example
 * const server = createSmallServer({
 * 	maximumConnections: 128,
 * 	maximumConnectionsPerAddress: 64,
 * 	onLimitReached: (limit) => log(limit),
 * 	onRequest: (request, response) => response.end('ok'),
 * });
 */
export function createSmallServer(options: SmallServerOptions): Server {
	const openRequests = new WeakMap<Socket, number>();
	const server = createServer(
		{
			headersTimeout: headerTimeout,
			requestTimeout: options.requestTimeout ?? headerTimeout,
			keepAliveTimeout,
			connectionsCheckingInterval: checkInterval,
		},
		(request, response) => {
			const {socket} = request;
			const openCount = openRequests.get(socket) ?? 0;
			if (openCount >= maximumOpenRequests) {
				if (!socket.destroyed) {
					options.onLimitReached('unread-responses');
					socket.destroy();
				}

				return;
			}

			openRequests.set(socket, openCount + 1);
			response.once('close', () => {
				openRequests.set(socket, openRequests.get(socket)! - 1);
			});
			if (hasBody(request) && options.mayHaveBody?.(request) !== true) {
				// Node.js then closes the connection after the response, without reading the body.
				response.setHeader('connection', 'close');
			}

			options.onRequest(request, response);
		},
	);
	server.maxConnections = options.maximumConnections;
	server.setTimeout(idleTimeout);
	server.on('drop', () => {
		options.onLimitReached('connections');
	});
	limitConnectionsPerAddress(server, options);
	return server;
}

function hasBody({headers}: IncomingMessage): boolean {
	return (
		headers['transfer-encoding'] !== undefined ||
		Number(headers['content-length'] ?? 0) > 0
	);
}

function limitConnectionsPerAddress(
	server: Server,
	{maximumConnectionsPerAddress, onLimitReached}: SmallServerOptions,
): void {
	const counts = new Map<string, number>();
	server.on('connection', (socket) => {
		const address = socket.remoteAddress ?? '';
		const count = counts.get(address) ?? 0;
		if (count >= maximumConnectionsPerAddress) {
			onLimitReached('connections-per-address');
			socket.destroy();
			return;
		}

		counts.set(address, count + 1);
		socket.once('close', () => {
			const remaining = counts.get(address)! - 1;
			if (remaining === 0) {
				counts.delete(address);
			} else {
				counts.set(address, remaining);
			}
		});
	});
}
