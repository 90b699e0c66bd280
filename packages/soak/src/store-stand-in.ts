import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Milliseconds} from '@parsleyvale/shared';

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

type StoreState = {
	readonly revision: number;
	readonly objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
};

/** JSON text that is sent as it is, for values that `JSON.stringify` cannot write. */
class RawJson {
	constructor(readonly text: string) {}
}

/** How the store responds to calls. */
export type StoreMode =
	| 'serves'
	/** Responds with 503 without processing the call. */
	| 'busy'
	/** Accepts calls but neither processes nor answers them. */
	| 'silent'
	/** Applies writes but closes the connection without a response; reads are served. */
	| 'loses answers';

/** An in-memory stand-in for the platform's object store. */
export class StoreStandIn {
	mode: StoreMode = 'serves';
	/** Received calls, as method and path without the query string. */
	readonly calls: string[] = [];
	/** Called after each response to a read. */
	onRead: (() => void) | undefined;
	/** How much later than requested the response to a poll without changes is sent. */
	responseDelay: Milliseconds = 0;
	/** Maximum number of objects in a list response. */
	pageSize = 500;
	readonly #server: Server;
	readonly #objects = new Map<string, Map<string, StoredObject>>();
	#changes: Change[] = [];
	readonly #watchers = new Set<() => void>();
	#revision = 1;
	#copy: StoreState | undefined;
	#backup: StoreState | undefined;
	#era = 1;
	#oldestRevision = 0;

	constructor() {
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
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

	listNames(kind: string): readonly string[] {
		return [...(this.#objects.get(kind)?.keys() ?? [])];
	}

	/** Creates or replaces an object, as an operator or a server would. */
	put(kind: string, name: string, spec: unknown): void {
		this.#revision += 1;
		const object = {metadata: {name, revision: this.#revision}, spec};
		const objectsOfKind =
			this.#objects.get(kind) ?? new Map<string, StoredObject>();
		objectsOfKind.set(name, object);
		this.#objects.set(kind, objectsOfKind);
		this.#recordChange({
			kind,
			revision: this.#revision,
			object,
			deleted: false,
		});
	}

	/** Creates or replaces an object whose spec is sent as the given JSON text. */
	putText(kind: string, name: string, json: string): void {
		this.put(kind, name, new RawJson(json));
	}

	remove(kind: string, name: string): boolean {
		const object = this.findObject(kind, name);
		if (object === undefined) {
			return false;
		}

		this.#revision += 1;
		this.#objects.get(kind)!.delete(name);
		this.#recordChange({kind, revision: this.#revision, object, deleted: true});
		return true;
	}

	/** Keeps the current state as the copy from which serializable lists are answered. */
	takeCopy(): void {
		this.#copy = this.#copyState();
	}

	/** Keeps the current state as the backup from which the store can return. */
	takeBackup(): void {
		this.#backup = this.#copyState();
	}

	/**
	 * Returns from the backup in a new era: what was written since is lost, and its
	 * revisions are given out again. Watches from one of these receive 410; those that
	 * wait are cut off. A copy for serializable lists may still be of the last era.
	 */
	restoreBackup(): void {
		const {revision, objects} = this.#backup ?? this.#copyState();
		this.#era += 1;
		this.#revision = revision;
		this.#objects.clear();
		for (const [kind, objectsOfKind] of objects) {
			this.#objects.set(kind, new Map(objectsOfKind));
		}

		this.#changes = this.#changes.filter(
			(change) => change.revision <= revision,
		);
		this.#watchers.clear();
		this.#server.closeAllConnections();
	}

	/** Discards the change history; watches from an earlier revision receive 410. */
	forgetHistory(): void {
		this.#revision += 1;
		this.#oldestRevision = this.#revision;
		this.#changes.length = 0;
		this.#notifyWatchers();
	}

	#copyState(): StoreState {
		return {
			revision: this.#revision,
			objects: new Map(
				[...this.#objects].map(([kind, objects]) => [kind, new Map(objects)]),
			),
		};
	}

	#recordChange(change: Change): void {
		this.#changes.push(change);
		this.#notifyWatchers();
	}

	#notifyWatchers(): void {
		for (const notify of this.#watchers) {
			notify();
		}
	}

	async #handle(
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
		response.setHeader('store-era', this.#era);
		if (this.mode === 'silent') {
			return;
		}

		if (this.mode === 'busy') {
			sendJson(response, 503, {error: 'busy'});
			return;
		}

		if (request.method === 'GET') {
			this.#read(kind, url.searchParams, response);
			this.onRead?.();
			return;
		}

		const status = this.#write(request.method!, kind, name, chunks.join(''));
		if (this.mode === 'loses answers') {
			request.socket.destroy();
			return;
		}

		sendJson(response, status, {});
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
		const exists =
			this.findObject(kind, name ?? body.metadata.name) !== undefined;
		if (method === 'PUT' && !exists) {
			return 404;
		}

		if (method === 'POST' && exists) {
			return 409;
		}

		this.put(kind, name ?? body.metadata.name, body.spec);
		return 200;
	}

	#read(kind: string, query: URLSearchParams, response: ServerResponse): void {
		const sinceRevision = query.get('watch');
		if (sinceRevision === null) {
			const isCopy = query.get('serializable') === '1';
			const state = (isCopy ? this.#copy : undefined) ?? {
				revision: this.#revision,
				objects: this.#objects,
			};
			this.#list(state, kind, query.get('after') ?? '', response);
			return;
		}

		const timeoutMs = Number(query.get('wait_ms') ?? 0);
		this.#watch(kind, Number(sinceRevision), timeoutMs, response);
	}

	#list(
		{revision, objects}: StoreState,
		kind: string,
		after: string,
		response: ServerResponse,
	): void {
		const matchingObjects = [...(objects.get(kind)?.values() ?? [])]
			.filter(({metadata}) => metadata.name > after)
			.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
		sendJson(response, 200, {
			items: matchingObjects.slice(0, this.pageSize),
			has_more: matchingObjects.length > this.pageSize,
			current_rev: revision,
		});
	}

	#watch(
		kind: string,
		sinceRevision: number,
		timeoutMs: number,
		response: ServerResponse,
	): void {
		const tryRespond = (isTimedOut: boolean): boolean => {
			if (
				sinceRevision < this.#oldestRevision ||
				sinceRevision > this.#revision
			) {
				sendJson(response, 410, {error: 'history gone'});
				return true;
			}

			const events = this.#changes
				.filter(
					(change) => change.kind === kind && change.revision > sinceRevision,
				)
				.map(({object, deleted}) => ({object, deleted}));
			if (events.length === 0 && !isTimedOut) {
				return false;
			}

			sendJson(response, 200, {events, current_rev: this.#revision});
			return true;
		};

		if (tryRespond(false)) {
			return;
		}

		const notify = () => {
			if (tryRespond(false)) {
				finish();
			}
		};

		const timer = setTimeout(() => {
			finish();
			tryRespond(true);
		}, timeoutMs + this.responseDelay);
		const finish = () => {
			clearTimeout(timer);
			this.#watchers.delete(notify);
		};

		this.#watchers.add(notify);
		response.once('close', finish);
	}
}

function sendJson(
	response: ServerResponse,
	status: number,
	value: unknown,
): void {
	if (!response.destroyed) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(formatJson(value));
	}
}

function formatJson(value: unknown): string {
	const texts: string[] = [];
	const json = JSON.stringify(value, (_key, item: unknown) => {
		if (!(item instanceof RawJson)) {
			return item;
		}

		texts.push(item.text);
		return `raw JSON ${texts.length - 1}`;
	});
	return json.replaceAll(
		/"raw JSON (\d+)"/g,
		(_match, index) => texts[Number(index)]!,
	);
}
