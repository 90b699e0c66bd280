import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** A stand-in for the platform's object store: linearizable, and it loses nothing. */
export class Store {
	#server = createServer((request, response) => {
		this.#handle(request, response);
	});
	#objects = new Map();
	#changes = [];
	#watchers = new Set();
	#revision = 1;

	get address() {
		const {address, port} = this.#server.address();
		return `${address}:${port}`;
	}

	async listen(address) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, address, resolve);
		});
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Creates or replaces an object, as the operator or a server does. */
	put(kind, name, spec) {
		const existing = this.#find(kind, name);
		if (
			existing !== undefined &&
			JSON.stringify(existing.spec) === JSON.stringify(spec)
		) {
			return;
		}

		this.#revision += 1;
		const created = existing?.metadata.created ?? this.#revision;
		const object = {
			metadata: {
				name,
				revision: this.#revision,
				created,
				finalizers: [],
				terminating: false,
			},
			spec,
			status: null,
		};
		const objects = this.#objects.get(kind) ?? new Map();
		objects.set(name, object);
		this.#objects.set(kind, objects);
		this.#record(kind, object, false);
	}

	remove(kind, name) {
		const object = this.#find(kind, name);
		if (object === undefined) {
			return false;
		}

		this.#revision += 1;
		this.#objects.get(kind).delete(name);
		this.#record(kind, object, true);
		return true;
	}

	#find(kind, name) {
		return this.#objects.get(kind)?.get(name);
	}

	#record(kind, object, isDeleted) {
		this.#changes.push({
			kind,
			revision: this.#revision,
			event: {object, deleted: isDeleted},
		});
		for (const notify of this.#watchers) {
			notify();
		}
	}

	async #handle(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const url = new URL(request.url, 'http://store');
		const [kind = '', name] = url.pathname.split('/').slice(3);
		if (request.method === 'GET') {
			this.#read(kind, name, url.searchParams, response);
			return;
		}

		if (request.method === 'DELETE') {
			sendJson(response, this.remove(kind, name) ? 200 : 404, {});
			return;
		}

		const {metadata, spec} = JSON.parse(String(Buffer.concat(chunks)));
		const target = name ?? metadata.name;
		const exists = this.#find(kind, target) !== undefined;
		if (request.method === 'PUT' && !exists) {
			sendJson(response, 404, {});
			return;
		}

		if (request.method === 'POST' && exists) {
			sendJson(response, 409, this.#find(kind, target));
			return;
		}

		this.put(kind, target, spec);
		sendJson(response, 200, this.#find(kind, target));
	}

	#read(kind, name, query, response) {
		if (name !== undefined) {
			const object = this.#find(kind, name);
			sendJson(response, object === undefined ? 404 : 200, object ?? {});
			return;
		}

		if (query.has('watch')) {
			this.#watch(
				kind,
				Number(query.get('watch')),
				Number(query.get('wait_ms') ?? 0),
				response,
			);
			return;
		}

		const after = query.get('after') ?? '';
		const names = [...(this.#objects.get(kind)?.keys() ?? [])]
			.filter((other) => other > after)
			.sort();
		/* eslint-disable camelcase -- Names of the platform's messages. */
		sendJson(response, 200, {
			items: names.slice(0, 500).map((other) => this.#find(kind, other)),
			has_more: names.length > 500,
			current_rev: this.#revision,
		});
		/* eslint-enable camelcase */
	}

	#watch(kind, since, waitTime, response) {
		const respond = (isOver) => {
			const events = this.#changes
				.filter((change) => change.kind === kind && change.revision > since)
				.map(({event}) => event);
			if (events.length === 0 && !isOver) {
				return;
			}

			clearTimeout(timer);
			this.#watchers.delete(notify);
			// eslint-disable-next-line camelcase -- A name of the platform's messages.
			sendJson(response, 200, {events, current_rev: this.#revision});
		};

		const notify = () => {
			respond(false);
		};

		const timer = setTimeout(() => {
			respond(true);
		}, waitTime);
		this.#watchers.add(notify);
		response.once('close', () => {
			clearTimeout(timer);
			this.#watchers.delete(notify);
		});
		respond(false);
	}
}

function sendJson(response, status, value) {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(value));
	}
}
