import type {
	Effect,
	KernelEvent,
	ObjectRead,
	ObjectWritten,
	StoredObject,
} from '@parsleyvale/kernel';
import type {Schedule} from './schedule.js';

export type StoreMode = 'up' | 'down' | 'slow' | 'loses-answers' | 'stale';

type StoreCall = Extract<
	Effect,
	{type: 'read-object' | 'write-object' | 'watch-object'}
>;

export function isStoreCall(effect: Effect): effect is StoreCall {
	return ['read-object', 'write-object', 'watch-object'].includes(effect.type);
}

export type Deliver = (event: KernelEvent) => void;

const normalDelayMs = 5;
const slowDelayMs = 900;
const clientTimeoutMs = 1500;

/** An in-memory object store with injectable faults. */
export class FakeStore {
	mode: StoreMode = 'up';
	readonly #schedule: Schedule;
	readonly #histories = new Map<string, StoredObject[]>();
	readonly #watchers = new Map<string, Deliver[]>();

	constructor(schedule: Schedule) {
		this.#schedule = schedule;
	}

	/** All versions of an object, oldest first. */
	listVersions(name: string): readonly StoredObject[] {
		return this.#histories.get(name) ?? [];
	}

	handle(call: StoreCall, isReachable: () => boolean, deliver: Deliver): void {
		if (call.type === 'watch-object') {
			const watchers = this.#watchers.get(call.name) ?? [];
			watchers.push((event) => {
				if (isReachable() && this.mode !== 'down') {
					deliver(event);
				}
			});
			this.#watchers.set(call.name, watchers);
			return;
		}

		if (!isReachable() || this.mode === 'down') {
			const result = {kind: 'failed'} as const;
			this.#schedule.add(normalDelayMs, () => {
				deliver(this.#toAnswer(call, result));
			});
			return;
		}

		this.#serve(call, isReachable, deliver);
	}

	#serve(
		call: Exclude<StoreCall, {type: 'watch-object'}>,
		isReachable: () => boolean,
		deliver: Deliver,
	): void {
		const {random} = this.#schedule;
		const delayMs =
			this.mode === 'slow' ? slowDelayMs * random() : normalDelayMs;
		const isLost = this.mode === 'loses-answers' && random() < 0.6;
		const isLate = isLost && random() < 0.3;
		this.#schedule.add(isLate ? clientTimeoutMs + slowDelayMs : delayMs, () => {
			const event =
				call.type === 'read-object'
					? this.#read(call.operationId, call.name)
					: this.#write(call);
			if (!isLost) {
				this.#schedule.add(delayMs, () => {
					deliver(isReachable() ? event : this.#toLostAnswer(call));
				});
			}
		});
		if (isLost) {
			this.#schedule.add(clientTimeoutMs, () => {
				deliver(this.#toLostAnswer(call));
			});
		}
	}

	#toLostAnswer(call: Exclude<StoreCall, {type: 'watch-object'}>): KernelEvent {
		const isRead = call.type === 'read-object';
		return this.#toAnswer(call, {kind: isRead ? 'failed' : 'unknown'});
	}

	#toAnswer(
		call: Exclude<StoreCall, {type: 'watch-object'}>,
		result: {kind: 'failed' | 'unknown'},
	): KernelEvent {
		const {operationId, name} = call;
		return call.type === 'read-object'
			? {type: 'object-read', operationId, name, result: {kind: 'failed'}}
			: {type: 'object-written', operationId, name, result};
	}

	/** Reads of withdrawals are never stale, as docs/design/keys.md requires. */
	#read(operationId: string, name: string): ObjectRead {
		const versions = this.listVersions(name);
		const isStale = this.mode === 'stale' && name === 'configuration';
		const versionsBehind = isStale
			? Math.floor(this.#schedule.random() * 3)
			: 0;
		const object = versions[Math.max(0, versions.length - 1 - versionsBehind)];
		return {
			type: 'object-read',
			operationId,
			name,
			result:
				object === undefined ? {kind: 'missing'} : {kind: 'found', object},
		};
	}

	#write(call: Extract<StoreCall, {type: 'write-object'}>): ObjectWritten {
		const {operationId, name, expectedVersion, value} = call;
		const history = this.#histories.get(name) ?? [];
		if (history.length !== expectedVersion) {
			const result = {kind: 'conflict'} as const;
			return {type: 'object-written', operationId, name, result};
		}

		const version = expectedVersion + 1;
		const object = {name, version, value: structuredClone(value)};
		history.push(object);
		this.#histories.set(name, history);
		this.#notifyWatchers(name);
		const result = {kind: 'written', version} as const;
		return {type: 'object-written', operationId, name, result};
	}

	#notifyWatchers(name: string): void {
		for (const deliver of this.#watchers.get(name) ?? []) {
			const isLagging = this.mode === 'stale';
			const delayMs = isLagging
				? slowDelayMs * 3 * this.#schedule.random()
				: normalDelayMs;
			const versions = this.listVersions(name);
			const object = versions.at(-1)!;
			this.#schedule.add(delayMs, () => {
				deliver({type: 'object-changed', object});
			});
		}
	}
}
