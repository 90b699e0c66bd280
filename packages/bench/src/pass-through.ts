import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {Pool, type Dispatcher} from 'undici';

/** A minimal reverse proxy with `http` and undici, the baseline of the cost benchmark. */
class PassThroughHandler implements Dispatcher.DispatchHandler {
	readonly #response: ServerResponse;

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	onRequestStart(): void {
		// Required by the interface; the baseline keeps no metrics.
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
	): void {
		const {connection, ...forwardedHeaders} = headers;
		this.#response.writeHead(status, forwardedHeaders);
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		if (!this.#response.write(chunk)) {
			controller.pause();
			this.#response.once('drain', () => {
				controller.resume();
			});
		}
	}

	onResponseEnd(): void {
		this.#response.end();
	}

	onResponseError(): void {
		this.#response.destroy();
	}
}

const [upstream = '', connections = '64'] = process.argv.slice(2);
const pool = new Pool(upstream, {connections: Number(connections)});

function forward(request: IncomingMessage, response: ServerResponse): void {
	const {connection, host, ...headers} = request.headers;
	const hasBody = request.method !== 'GET' && request.method !== 'HEAD';
	pool.dispatch(
		{
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			headers,
			body: hasBody ? request : null,
		},
		new PassThroughHandler(response),
	);
}

const server = createServer(forward);
server.listen(0, '127.0.0.1', () => {
	const {port} = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({port})}\n`);
});
process.once('SIGTERM', () => {
	server.closeAllConnections();
	server.close();
	void pool.destroy();
});
