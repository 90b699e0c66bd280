import {Agent, request} from 'node:http';

/** A client of the system with connections that it keeps. */
export class Client {
	#agent = new Agent({keepAlive: true});
	#clock;

	constructor(clock) {
		this.#clock = clock;
	}

	/**
	 * Sends one attempt and resolves to what came back: a status of 0 stands for a
	 * connection that ended without a complete answer. `body` holds the pieces of
	 * the body, which are sent in chunks unless `length` is set.
	 */
	async send(front, {method = 'GET', path, host, headers, body = [], length}) {
		const sentAt = this.#clock.now();
		return new Promise((resolve) => {
			const finish = (status, text, seal) => {
				resolve({status, text, seal, sentAt, answeredAt: this.#clock.now()});
			};

			const outgoing = request(
				{
					...front,
					method,
					path,
					agent: this.#agent,
					headers: {
						host,
						...headers,
						...(length !== undefined && {'content-length': length}),
					},
				},
				(response) => {
					let text = '';
					response.setEncoding('utf8');
					response.on('data', (chunk) => {
						text += chunk;
					});
					response.on('end', () => {
						finish(
							response.statusCode,
							text,
							response.headers['parsleyvale-server-seal'],
						);
					});
					response.on('error', () => {
						finish(0, text);
					});
				},
			);
			outgoing.on('error', () => {
				finish(0, '');
			});
			for (const piece of body) {
				outgoing.write(piece);
			}

			outgoing.end();
		});
	}

	close() {
		this.#agent.destroy();
	}
}
