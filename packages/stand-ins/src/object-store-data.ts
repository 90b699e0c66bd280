import type {IncomingMessage, ServerResponse} from 'node:http';
import {HostList} from './host-list.js';
import {parseJson, readBody, sendJson, sendStatus} from './http-json.js';
import type {CallOf, DataCall} from './object-store-call.js';
import type {
	ObjectStoreFaultMode,
	ObjectStoreFaultInjector,
} from './object-store-faults.js';
import {StoredObjects, type ObjectState} from './stored-objects.js';
import {ObjectWaiters} from './object-waiters.js';

const maximumValueBytes = 1_048_576;
/** Waiter key of the host list; cannot collide with an object, whose name is never empty. */
const hostsKey = '';

/** Stores the objects and the host list, and handles the calls that access them. */
export class ObjectStoreData {
	readonly hosts = new HostList(() => {
		this.#waiters.notify(hostsKey);
	});

	readonly #objects = new StoredObjects();
	readonly #waiters = new ObjectWaiters();
	readonly #faultInjector: ObjectStoreFaultInjector;

	constructor(faultInjector: ObjectStoreFaultInjector) {
		this.#faultInjector = faultInjector;
	}

	close(): void {
		this.hosts.close();
		this.#waiters.close();
	}

	async handle(
		call: DataCall,
		mode: ObjectStoreFaultMode,
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		switch (call.kind) {
			case 'read': {
				this.#sendObject(response, call.name, this.#read(call.name, mode));
				break;
			}

			case 'watch': {
				await this.#handleWatch(call, response);
				break;
			}

			case 'list': {
				sendJson(response, 200, {objects: this.#objects.list(call.prefix)});
				break;
			}

			case 'write':
			case 'delete': {
				await this.#handleUpdate(call, mode, request, response);
				break;
			}

			case 'list-hosts': {
				sendJson(response, 200, this.hosts.published);
				break;
			}

			case 'watch-hosts': {
				await this.#handleHostsWatch(call, response);
				break;
			}
		}
	}

	async #handleUpdate(
		call: CallOf<'write'> | CallOf<'delete'>,
		mode: ObjectStoreFaultMode,
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const body = await readBody(request, maximumValueBytes);
		const json = call.kind === 'write' ? body.toString() : undefined;
		if (json !== undefined) {
			parseJson(json);
		}

		const result = this.#objects.update(call.name, call.expectedVersion, json);
		if (result.kind === 'changed') {
			this.#waiters.notify(call.name);
		}

		if (mode === 'lose-answers') {
			response.destroy();
			return;
		}

		const status = result.kind === 'changed' ? 200 : 409;
		sendJson(response, status, {version: result.version});
	}

	async #handleWatch(
		call: CallOf<'watch'>,
		response: ServerResponse,
	): Promise<void> {
		const endsAt = performance.now() + call.waitMs;
		for (;;) {
			const state = this.#read(call.name, this.#faultInjector.current.mode);
			if (state.json !== undefined && state.version > call.afterVersion) {
				this.#sendObject(response, call.name, state);
				return;
			}

			const remainingTime = endsAt - performance.now();
			if (remainingTime <= 0 || response.destroyed) {
				sendStatus(response, 304);
				return;
			}

			await this.#waiters.wait(call.name, remainingTime);
		}
	}

	async #handleHostsWatch(
		call: CallOf<'watch-hosts'>,
		response: ServerResponse,
	): Promise<void> {
		if (this.hosts.published.version <= call.afterVersion) {
			await this.#waiters.wait(hostsKey, call.waitMs);
		}

		if (this.hosts.published.version > call.afterVersion) {
			sendJson(response, 200, this.hosts.published);
		} else {
			sendStatus(response, 304);
		}
	}

	#read(name: string, mode: ObjectStoreFaultMode): ObjectState {
		return mode === 'stale-reads'
			? this.#objects.getPrevious(name)
			: this.#objects.get(name);
	}

	#sendObject(
		response: ServerResponse,
		name: string,
		{version, json}: ObjectState,
	): void {
		if (json === undefined) {
			sendJson(response, 404, {message: 'Object not found'});
			return;
		}

		sendJson(response, 200, {name, version, value: parseJson(json)});
	}
}
