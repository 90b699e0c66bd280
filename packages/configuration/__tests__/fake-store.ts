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

const quick = 5;
const slow = 900;
const clientTimeout = 1500;

/** The platform's objects, with faults on command. */
export class FakeStore {
	mode: StoreMode = 'up';
	readonly #schedule: Schedule;
	readonly #histories = new Map<string, StoredObject[]>();
	readonly #watchers = new Map<string, Deliver[]>();

	constructor(schedule: Schedule) {
		this.#schedule = schedule;
	}

	/** Every version that the object ever had, the first first. */
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
			this.#schedule.add(quick, () => {
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
		const delay = this.mode === 'slow' ? slow * random() : quick;
		const isLost = this.mode === 'loses-answers' && random() < 0.6;
		const isLate = isLost && random() < 0.3;
		this.#schedule.add(isLate ? clientTimeout + slow : delay, () => {
			const event =
				call.type === 'read-object'
					? this.#read(call.operationId, call.name)
					: this.#write(call);
			if (!isLost) {
				this.#schedule.add(delay, () => {
					deliver(isReachable() ? event : this.#toLost(call));
				});
			}
		});
		if (isLost) {
			this.#schedule.add(clientTimeout, () => {
				deliver(this.#toLost(call));
			});
		}
	}

	#toLost(call: Exclude<StoreCall, {type: 'watch-object'}>): KernelEvent {
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

	/** Withdrawals are read fresh: docs/design/keys.md rests on that. */
	#read(operationId: string, name: string): ObjectRead {
		const versions = this.listVersions(name);
		const isStale = this.mode === 'stale' && name === 'configuration';
		const back = isStale ? Math.floor(this.#schedule.random() * 3) : 0;
		const object = versions[Math.max(0, versions.length - 1 - back)];
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
		this.#tellWatchers(name);
		const result = {kind: 'written', version} as const;
		return {type: 'object-written', operationId, name, result};
	}

	#tellWatchers(name: string): void {
		for (const deliver of this.#watchers.get(name) ?? []) {
			const isLagging = this.mode === 'stale';
			const lag = isLagging ? slow * 3 * this.#schedule.random() : quick;
			const versions = this.listVersions(name);
			const object = versions.at(-1)!;
			this.#schedule.add(lag, () => {
				deliver({type: 'object-changed', object});
			});
		}
	}
}
