import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

type StoredObject = {
	readonly metadata: {readonly name: string; readonly revision: number};
	readonly spec: unknown;
};

type Change = {
	readonly kind: string;
	readonly revision: number;
	readonly object: StoredObject;
	readonly deleted: boolean;
};

/** What the store does with calls. */
export type StoreMode =
	| 'serves'
	/** Answers 503 and does nothing. */
	| 'busy'
	/** Takes calls and never answers. */
	| 'silent'
	/** Does what it is asked to and answers nothing. */
	| 'loses answers';

/** A small stand-in for the platform's store of objects. */
export class StoreStandIn {
	mode: StoreMode = 'serves';
	/** Calls, as method and path without the query. */
	readonly calls: string[] = [];
	/** Most objects in an answer to a list. */
	pageSize = 500;
	readonly #server: Server;
	readonly #objects = new Map<string, Map<string, StoredObject>>();
	readonly #changes: Change[] = [];
	readonly #waiting = new Set<() => void>();
	#revision = 1;
	#oldestKnown = 0;

	constructor() {
		this.#server = createServer((request, response) => {
			void this.#take(request, response);
		});
	}

	get url(): string {
		return `http://${this.address}`;
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async listen(): Promise<this> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	findObject(kind: string, name: string): StoredObject | undefined {
		return this.#objects.get(kind)?.get(name);
	}

	/** Writes as the operator or a server does. */
	put(kind: string, name: string, spec: unknown): void {
		this.#revision += 1;
		const object = {metadata: {name, revision: this.#revision}, spec};
		const ofKind = this.#objects.get(kind) ?? new Map<string, StoredObject>();
		ofKind.set(name, object);
		this.#objects.set(kind, ofKind);
		this.#tell({kind, revision: this.#revision, object, deleted: false});
	}

	remove(kind: string, name: string): boolean {
		const object = this.findObject(kind, name);
		if (object === undefined) {
			return false;
		}

		this.#revision += 1;
		this.#objects.get(kind)!.delete(name);
		this.#tell({kind, revision: this.#revision, object, deleted: true});
		return true;
	}

	/** Forgets which changes there were; watches from before get 410. */
	forgetHistory(): void {
		this.#revision += 1;
		this.#oldestKnown = this.#revision;
		this.#changes.length = 0;
		this.#wake();
	}

	#tell(change: Change): void {
		this.#changes.push(change);
		this.#wake();
	}

	#wake(): void {
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #take(
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const chunks: string[] = [];
		for await (const chunk of request) {
			chunks.push(String(chunk));
		}

		const url = new URL(request.url ?? '/', 'http://store');
		const [kind = '', name] = url.pathname.split('/').slice(3);
		this.calls.push(`${request.method} ${url.pathname}`);
		if (this.mode === 'silent') {
			return;
		}

		if (this.mode === 'busy') {
			send(response, 503, {error: 'busy'});
			return;
		}

		if (request.method === 'GET') {
			this.#read(kind, url.searchParams, response);
			return;
		}

		const status = this.#write(request.method!, kind, name, chunks.join(''));
		if (this.mode === 'loses answers') {
			request.socket.destroy();
			return;
		}

		send(response, status, {});
	}

	#write(
		method: string,
		kind: string,
		name: string | undefined,
		text: string,
	): number {
		if (method === 'DELETE') {
			return this.remove(kind, name!) ? 200 : 404;
		}

		const body = JSON.parse(text) as {
			metadata: {name: string};
			spec: unknown;
		};
		const isThere =
			this.findObject(kind, name ?? body.metadata.name) !== undefined;
		if (method === 'PUT' && !isThere) {
			return 404;
		}

		if (method === 'POST' && isThere) {
			return 409;
		}

		this.put(kind, name ?? body.metadata.name, body.spec);
		return 200;
	}

	#read(kind: string, query: URLSearchParams, response: ServerResponse): void {
		const from = query.get('watch');
		if (from === null) {
			this.#list(kind, query.get('after') ?? '', response);
			return;
		}

		const span = Number(query.get('wait_ms') ?? 0);
		this.#watch(kind, Number(from), span, response);
	}

	#list(kind: string, after: string, response: ServerResponse): void {
		const all = [...(this.#objects.get(kind)?.values() ?? [])]
			.filter(({metadata}) => metadata.name > after)
			.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
		send(response, 200, {
			items: all.slice(0, this.pageSize),
			has_more: all.length > this.pageSize,
			current_rev: this.#revision,
		});
	}

	#watch(
		kind: string,
		from: number,
		span: number,
		response: ServerResponse,
	): void {
		const answer = (isOver: boolean): boolean => {
			if (from < this.#oldestKnown) {
				send(response, 410, {error: 'history gone'});
				return true;
			}

			const events = this.#changes
				.filter((change) => change.kind === kind && change.revision > from)
				.map(({object, deleted}) => ({object, deleted}));
			if (events.length === 0 && !isOver) {
				return false;
			}

			send(response, 200, {events, current_rev: this.#revision});
			return true;
		};

		if (answer(false)) {
			return;
		}

		const wake = () => {
			if (answer(false)) {
				finish();
			}
		};

		const timer = setTimeout(() => {
			finish();
			answer(true);
		}, span);
		const finish = () => {
			clearTimeout(timer);
			this.#waiting.delete(wake);
		};

		this.#waiting.add(wake);
		response.once('close', finish);
	}
}

function send(response: ServerResponse, status: number, value: unknown): void {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(value));
	}
}
