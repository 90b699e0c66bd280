/* eslint-disable camelcase -- The fields of the platform's messages and settings use snake_case. */
import {createHash} from 'node:crypto';
import {createServer} from 'node:http';

const heartbeat = 1500;

/** Stand-in for a backend server that records what it runs. */
export class BackendServer {
	/** Factor on the time that work takes. */
	slowness = 1;
	/** Requests that began to run, oldest first. */
	runs = [];
	#options;
	#server;
	#running = 0;
	#sequence = 0;
	#timer;

	/** Options: `id`, `zone`, `service`, `slots`, `workTime`, `store`, `clock`. */
	constructor(options) {
		this.#options = options;
		this.#server = createServer((request, response) => {
			this.#onRequest(request, response);
		});
	}

	get id() {
		return this.#options.id;
	}

	async start() {
		await new Promise((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.#server.keepAliveTimeout = 10_000;
		this.born = Date.now();
		this.#register();
		this.#timer = setInterval(() => {
			this.#register();
		}, heartbeat);
		return this;
	}

	close() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#register() {
		const {id, zone, service, slots, store} = this.#options;
		this.#sequence += 1;
		store.put('servers', id, {
			service,
			address: `127.0.0.1:${this.#server.address().port}`,
			zone,
			version: 'v1',
			slots,
			state: 'ready',
			cold_remaining_s: 0,
			sequence: this.#sequence,
			born: this.born,
		});
	}

	#onRequest(request, response) {
		const {id, slots} = this.#options;
		const requestId = request.headers['parsleyvale-request-id'];
		if (requestId !== undefined) {
			response.setHeader('parsleyvale-request-id', requestId);
		}

		response.setHeader(
			'parsleyvale-server-load',
			`${this.#running},0,${slots}`,
		);
		if (request.url === '/health') {
			response.setHeader('parsleyvale-instance-id', id);
			response.end();
			return;
		}

		const hash = createHash('sha256');
		let bytes = 0;
		request.on('data', (chunk) => {
			hash.update(chunk);
			bytes += chunk.length;
		});
		request.on('error', () => undefined);
		request.on('end', () => {
			const digest = hash.digest('hex');
			this.#onComplete(request, response, {requestId, bytes, digest});
		});
	}

	#onComplete(request, response, {requestId, bytes, digest}) {
		const {id, slots, workTime, clock} = this.#options;
		const {headers, method, url} = request;
		if ((headers['parsleyvale-expected-instance'] ?? id) !== id) {
			response.writeHead(421).end();
			return;
		}

		if (requestId === undefined || this.#running >= slots) {
			response.setHeader('parsleyvale-not-executed', '1');
			response.writeHead(requestId === undefined ? 400 : 503).end();
			return;
		}

		const run = {
			server: id,
			requestId,
			method,
			url,
			tenant: headers['parsleyvale-tenant'],
			bytes,
			digest,
			at: clock.now(),
		};
		this.runs.push(run);
		this.#running += 1;
		const deadline = Number(
			headers['parsleyvale-request-deadline'] ?? Number.POSITIVE_INFINITY,
		);
		const duration = workTime * this.slowness;
		const isTooLate = duration >= deadline;
		const timer = setTimeout(
			() => {
				this.#running -= 1;
				run.endedAt = clock.now();
				response.setHeader('parsleyvale-server-seal', `seal-${id}`);
				response.writeHead(isTooLate ? 504 : 200);
				response.end(`${requestId} ${bytes} ${digest}`);
			},
			Math.min(duration, deadline),
		);
		response.once('close', () => {
			if (run.endedAt === undefined) {
				// The connection was closed: the work is dropped.
				clearTimeout(timer);
				this.#running -= 1;
				run.endedAt = clock.now();
			}
		});
	}
}
