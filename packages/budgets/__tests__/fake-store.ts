import type {
	Effect,
	KernelEvent,
	ReadObject,
	StoredObject,
	WriteObject,
} from '@parsleyvale/kernel';

export type StoreMode =
	| 'up'
	/** Refuses connections. */
	| 'down'
	/** Accepts calls and never answers. */
	| 'silent'
	/** Applies writes and answers with an unknown outcome. */
	| 'applying'
	/** Drops writes and answers with an unknown outcome. */
	| 'dropping'
	/** Reads return the previous version. */
	| 'stale';

/** A versioned object store with injectable faults. */
export class FakeStore {
	mode: StoreMode = 'up';
	readonly calls = {reads: 0, writes: 0};
	/** Called after every applied write. */
	onChange: ((object: StoredObject) => void) | undefined;
	readonly #history = new Map<string, StoredObject[]>();

	list(): StoredObject[] {
		return [...this.#history.values()].map((versions) => versions.at(-1)!);
	}

	/** Returns the answer to a call, or undefined if there is none. */
	answer(effect: Effect): KernelEvent | undefined {
		if (effect.type === 'read-object') {
			return this.#read(effect);
		}

		return effect.type === 'write-object' ? this.#write(effect) : undefined;
	}

	#read({operationId, name}: ReadObject): KernelEvent | undefined {
		this.calls.reads++;
		const versions = this.#history.get(name) ?? [];
		const object = versions.at(this.mode === 'stale' ? -2 : -1);
		if (this.mode === 'silent') {
			return undefined;
		}

		const isDown = this.mode === 'down';
		const found = object && ({kind: 'found', object} as const);
		const result = isDown ? {kind: 'failed' as const} : found;
		return {
			type: 'object-read',
			operationId,
			name,
			result: result ?? {kind: 'missing'},
		};
	}

	#write(effect: WriteObject): KernelEvent | undefined {
		this.calls.writes++;
		const {operationId, name, expectedVersion, value} = effect;
		const versions = this.#history.get(name) ?? [];
		const currentVersion = versions.at(-1)?.version ?? 0;
		const answer = (
			result: Extract<KernelEvent, {type: 'object-written'}>['result'],
		): KernelEvent => ({type: 'object-written', operationId, name, result});
		if (this.mode === 'down') {
			return answer({kind: 'failed'});
		}

		const isApplied =
			expectedVersion === currentVersion &&
			this.mode !== 'dropping' &&
			this.mode !== 'silent';
		if (isApplied) {
			const copy: unknown = structuredClone(value);
			const object = {name, version: currentVersion + 1, value: copy};
			versions.push(object);
			this.#history.set(name, versions);
			this.onChange?.(object);
		}

		if (this.mode === 'silent') {
			return undefined;
		}

		if (this.mode === 'applying' || this.mode === 'dropping') {
			return answer({kind: 'unknown'});
		}

		return answer(
			isApplied
				? {kind: 'written', version: currentVersion + 1}
				: {kind: 'conflict'},
		);
	}
}
