import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {Agent, createServer, request} from 'node:http';
import {createServerEntry, apiKey, hostName} from './deployment.mjs';

/** Creates the body of a server's answer: a pure function of the request id and the size. */
export function createBody(requestId, size) {
	const digest = createHash('sha256').update(requestId).digest('hex');
	return Buffer.alloc(size, digest, 'latin1');
}

/**
 * A sound server: runs at most `slots` requests at once, turns away the others as
 * not executed, and drops a request whose connection closes.
 */
export class Server {
	runs = [];
	#caseRun;
	#running = 0;
	#server;

	constructor(caseRun, {id, zone, slots = 3, workTime = 100, respond}) {
		this.#caseRun = caseRun;
		this.id = id;
		this.zone = zone;
		this.slots = slots;
		this.workTime = workTime;
		this.respond = respond ?? sendAnswer;
		const queues = new WeakMap();
		this.#server = createServer(
			{keepAliveTimeout: 10_000},
			(incoming, response) => {
				// One request at a time on a connection.
				const {socket} = incoming;
				const previous = queues.get(socket) ?? Promise.resolve();
				queues.set(socket, this.#handleAfter(previous, incoming, response));
			},
		);
	}

	get load() {
		return `${this.#running},0,${this.slots}`;
	}

	async start(address) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, address, resolve);
		});
		const {port} = this.#server.address();
		this.#caseRun.onEnd(() => {
			this.#server.close();
			this.#server.closeAllConnections();
		});
		this.#caseRun.store.put(
			'servers',
			this.id,
			createServerEntry({
				address: `${address}:${port}`,
				zone: this.zone,
				slots: this.slots,
			}),
		);
	}

	async #handleAfter(previous, incoming, response) {
		await previous;
		await this.#handle(incoming, response);
	}

	async #handle(incoming, response) {
		const {headers, method, url} = incoming;
		const id = headers['parsleyvale-request-id'];
		response.on('error', () => undefined);
		let bytes = 0;
		const hash = createHash('sha256');
		try {
			for await (const chunk of incoming) {
				bytes += chunk.length;
				hash.update(chunk);
			}
		} catch {
			this.#caseRun.note(
				`${this.id} request ${id} broke off after ${bytes} bytes`,
			);
			return;
		}

		if (id === undefined) {
			response.writeHead(400, {'parsleyvale-not-executed': '1'}).end();
			return;
		}

		response.setHeader('parsleyvale-request-id', id);
		const expected = headers['parsleyvale-expected-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {'parsleyvale-instance-id': this.id}).end();
			return;
		}

		if (this.#running >= this.slots) {
			response.writeHead(503, {'parsleyvale-not-executed': '1'}).end();
			return;
		}

		this.runs.push({id, at: this.#caseRun.now, key: headers['x-api-key']});
		this.#caseRun.note(
			`${this.id} runs ${id}: ${method} ${url}, ${bytes} bytes, tenant ${headers['parsleyvale-tenant']}`,
		);
		this.#running += 1;
		await this.respond({
			server: this,
			id,
			bytes,
			bodyHash: hash.digest('hex'),
			headers,
			response,
		});
		this.#running -= 1;
	}
}

/** Works on a request; returns false if its connection closes meanwhile. */
export async function work(response, duration) {
	return new Promise((resolve) => {
		const finish = () => {
			clearTimeout(timer);
			response.off('close', finish);
			resolve(!response.destroyed);
		};

		const timer = setTimeout(finish, duration);
		response.once('close', finish);
	});
}

export async function sendAnswer({server, id, response}) {
	if (await work(response, server.workTime)) {
		const body = createBody(id, 400);
		response.writeHead(200, {
			'content-length': body.length,
			'parsleyvale-server-seal': `seal-${id}`,
			'parsleyvale-server-load': server.load,
		});
		response.end(body);
	}
}

/** A client with one kept connection to a host. */
export class Client {
	#caseRun;
	#agent = new Agent({keepAlive: true, maxSockets: 1});

	constructor(caseRun, host) {
		this.#caseRun = caseRun;
		this.host = host;
		caseRun.onEnd(() => {
			this.#agent.destroy();
		});
	}

	/** Sends a request and resolves with how it ended: an answer, or why there is none. */
	async send({
		method = 'GET',
		target,
		body,
		affinity,
		part,
		deadline = 4000,
		key = apiKey,
		bytesPerSecond,
		isQuiet = false,
	}) {
		const id = randomUUID().replaceAll('-', '').slice(0, 16);
		const {address, front, name} = this.host;
		const sentAt = this.#caseRun.now;
		const note = (text) => {
			if (!isQuiet) {
				this.#caseRun.note(text);
			}
		};

		note(
			`client sends ${id} to ${name}: ${method} ${target}, ${body?.length ?? 0} bytes`,
		);
		const outcome = await new Promise((resolve) => {
			const outgoing = request({
				agent: this.#agent,
				host: address,
				port: front,
				method,
				path: target,
				headers: {
					host: hostName,
					'parsleyvale-request-id': id,
					'parsleyvale-request-deadline': deadline,
					'x-api-key': key,
					...(affinity !== undefined && {
						'parsleyvale-affinity-key': affinity,
					}),
					...(part !== undefined && {'x-part': part}),
					...(body !== undefined && {'content-length': body.length}),
				},
			});
			const timer = setTimeout(() => {
				resolve({kind: 'gave up'});
				outgoing.destroy();
			}, deadline);
			const finish = (result) => {
				clearTimeout(timer);
				resolve(result);
			};

			outgoing.on('error', (error) => {
				finish({kind: 'closed', reason: error.message});
			});
			outgoing.on('response', (response) => {
				const chunks = [];
				const startedAt = this.#caseRun.now;
				let bytes = 0;
				response.on('data', (chunk) => {
					chunks.push(chunk);
					bytes += chunk.length;
					if (bytesPerSecond !== undefined) {
						const dueAt = startedAt + (bytes / bytesPerSecond) * 1000;
						response.pause();
						setTimeout(
							() => {
								response.resume();
							},
							Math.max(0, dueAt - this.#caseRun.now),
						);
					}
				});
				response.on('error', (error) => {
					finish({kind: 'cut', reason: error.message});
				});
				response.on('end', () => {
					const {statusCode: status, headers} = response;
					finish({
						kind: 'answered',
						status,
						headers,
						body: Buffer.concat(chunks),
					});
				});
			});
			outgoing.end(body);
		});
		const endedAt = this.#caseRun.now;
		note(
			`client ends ${id} after ${endedAt - sentAt} ms: ${outcome.kind} ${outcome.status ?? outcome.reason ?? ''}`,
		);
		return {id, sentAt, endedAt, ...outcome};
	}
}
