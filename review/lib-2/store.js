/* eslint-disable camelcase -- The fields of the platform's messages and settings use snake_case. */
import {createServer} from 'node:http';
import {readJson, sendJson} from './http.js';

/** Stand-in for the platform's store. Every daemon gets a port of its own. */
export class Store {
	#revision = 1;
	#objects = new Map();
	#changes = [];
	#watchers = new Set();
	#servers = [];

	/** Starts a listener; `isDown` says whether its calls get no answer. */
	async listen(isDown = () => false) {
		const server = createServer(async (request, response) => {
			await this.#handle(request, response, isDown);
		});
		await new Promise((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		this.#servers.push(server);
		return `127.0.0.1:${server.address().port}`;
	}

	put(kind, name, spec) {
		this.#revision += 1;
		const previous = this.#getKind(kind).get(name);
		const object = {
			metadata: {
				name,
				revision: this.#revision,
				created: previous?.metadata.created ?? this.#revision,
				finalizers: [],
				terminating: false,
			},
			spec,
			status: {},
		};
		this.#getKind(kind).set(name, object);
		this.#change(kind, object, false);
		return object;
	}

	remove(kind, name) {
		const object = this.#getKind(kind).get(name);
		if (object !== undefined) {
			this.#revision += 1;
			this.#getKind(kind).delete(name);
			this.#change(kind, object, true);
		}

		return object;
	}

	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#getKind(kind) {
		if (!this.#objects.has(kind)) {
			this.#objects.set(kind, new Map());
		}

		return this.#objects.get(kind);
	}

	#change(kind, object, deleted) {
		this.#changes.push({kind, revision: this.#revision, object, deleted});
		for (const notify of this.#watchers) {
			notify();
		}
	}

	async #handle(request, response, isDown) {
		const body = await readJson(request);
		if (isDown()) {
			return;
		}

		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const [kind, name] = pathname.split('/').slice(3);
		if (request.method !== 'GET') {
			this.#write(request.method, {kind, name, body}, response);
		} else if (searchParams.has('watch')) {
			this.#watch(kind, searchParams, response, isDown);
		} else if (name === undefined) {
			this.#list(kind, searchParams.get('after') ?? '', response);
		} else {
			const object = this.#getKind(kind).get(name);
			sendJson(response, object ? 200 : 404, object ?? {});
		}
	}

	#write(method, {kind, name, body}, response) {
		const key = name ?? body.metadata.name;
		const existing = this.#getKind(kind).get(key);
		if (method === 'POST' && existing !== undefined) {
			sendJson(response, 409, existing);
		} else if (method !== 'POST' && existing === undefined) {
			sendJson(response, 404, {});
		} else if (method === 'DELETE') {
			sendJson(response, 200, this.remove(kind, key));
		} else {
			sendJson(response, 200, this.put(kind, key, body.spec));
		}
	}

	#list(kind, after, response) {
		const names = [...this.#getKind(kind).keys()]
			.filter((name) => name > after)
			.sort();
		sendJson(response, 200, {
			items: names.slice(0, 500).map((name) => this.#getKind(kind).get(name)),
			has_more: names.length > 500,
			current_rev: this.#revision,
		});
	}

	#watch(kind, searchParams, response, isDown) {
		const since = Number(searchParams.get('watch'));
		const answer = (isOver) => {
			const events = this.#changes
				.filter((change) => change.kind === kind && change.revision > since)
				.map(({object, deleted}) => ({object, deleted}));
			if (isDown() || (events.length === 0 && !isOver)) {
				return;
			}

			finish();
			sendJson(response, 200, {events, current_rev: this.#revision});
		};

		const notify = () => {
			answer(false);
		};

		const timer = setTimeout(
			() => {
				answer(true);
			},
			Number(searchParams.get('wait_ms') ?? 0),
		);
		const finish = () => {
			clearTimeout(timer);
			this.#watchers.delete(notify);
		};

		this.#watchers.add(notify);
		response.once('close', finish);
		answer(false);
	}
}
