import type {KernelEvent, ReadObject, WriteObject} from '@parsleyvale/kernel';

/** What happens to one call to the store. */
export type StoreFate =
	| 'done'
	/** The change took effect; its answer was lost. */
	| 'answer-lost'
	/** The answer was lost; the change takes effect later. */
	| 'late'
	/** Nothing happened and nothing is known. */
	| 'dropped'
	/** The store was not reached. */
	| 'failed'
	/** A read tells of the state before the last change. */
	| 'stale';

type Entry = {readonly version: number; readonly value: unknown};

/** Objects under compare-and-set; a test decides the fate of each call. */
export class FakeStore {
	readonly objects = new Map<string, Entry>();
	readonly #previous = new Map<string, Entry | undefined>();
	readonly #late: WriteObject[] = [];

	handle(call: ReadObject | WriteObject, fate: StoreFate): KernelEvent {
		return call.type === 'read-object'
			? this.#read(call, fate)
			: this.#write(call, fate);
	}

	/** Lets the changes take effect that were on their way. */
	applyLate(): void {
		for (const call of this.#late.splice(0)) {
			this.#apply(call);
		}
	}

	#read(call: ReadObject, fate: StoreFate): KernelEvent {
		const {operationId, name} = call;
		const type = 'object-read';
		const isStale = fate === 'stale';
		const entry = (isStale ? this.#previous : this.objects).get(name);
		if (fate !== 'done' && !isStale) {
			return {type, operationId, name, result: {kind: 'failed'}};
		}

		return entry === undefined
			? {type, operationId, name, result: {kind: 'missing'}}
			: {
					type,
					operationId,
					name,
					result: {kind: 'found', object: {name, ...entry}},
				};
	}

	#write(call: WriteObject, fate: StoreFate): KernelEvent {
		const {operationId, name} = call;
		const type = 'object-written';
		if (fate === 'failed') {
			return {type, operationId, name, result: {kind: 'failed'}};
		}

		if (fate === 'done' || fate === 'stale') {
			const version = this.#apply(call);
			return version === undefined
				? {type, operationId, name, result: {kind: 'conflict'}}
				: {type, operationId, name, result: {kind: 'written', version}};
		}

		if (fate === 'answer-lost') {
			this.#apply(call);
		}

		if (fate === 'late') {
			this.#late.push(call);
		}

		return {type, operationId, name, result: {kind: 'unknown'}};
	}

	#apply({name, expectedVersion, value}: WriteObject): number | undefined {
		const version = this.objects.get(name)?.version ?? 0;
		if (version !== expectedVersion) {
			return undefined;
		}

		this.#previous.set(name, this.objects.get(name));
		this.objects.set(name, {
			version: version + 1,
			value: structuredClone(value),
		});
		return version + 1;
	}
}
