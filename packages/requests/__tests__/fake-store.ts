import type {KernelEvent, ReadObject, WriteObject} from '@parsleyvale/kernel';

/** Outcome of one store operation. */
export type StoreOutcome =
	| 'done'
	/** The write takes effect; its answer is lost. */
	| 'answer-lost'
	/** The answer is lost; the write takes effect later. */
	| 'late'
	/** The write is lost; the caller cannot tell. */
	| 'dropped'
	/** The store is unreachable. */
	| 'failed'
	/** A read returns the state before the last write. */
	| 'stale';

type StoredEntry = {readonly version: number; readonly value: unknown};

/** Object store with compare-and-set; the test chooses each outcome. */
export class FakeStore {
	readonly objects = new Map<string, StoredEntry>();
	readonly #previousEntries = new Map<string, StoredEntry | undefined>();
	readonly #delayedWrites: WriteObject[] = [];

	handle(call: ReadObject | WriteObject, outcome: StoreOutcome): KernelEvent {
		return call.type === 'read-object'
			? this.#read(call, outcome)
			: this.#write(call, outcome);
	}

	/** Applies the delayed writes. */
	applyDelayedWrites(): void {
		for (const call of this.#delayedWrites.splice(0)) {
			this.#apply(call);
		}
	}

	#read(call: ReadObject, outcome: StoreOutcome): KernelEvent {
		const {operationId, name} = call;
		const type = 'object-read';
		const isStale = outcome === 'stale';
		const entry = (isStale ? this.#previousEntries : this.objects).get(name);
		if (outcome !== 'done' && !isStale) {
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

	#write(call: WriteObject, outcome: StoreOutcome): KernelEvent {
		const {operationId, name} = call;
		const type = 'object-written';
		if (outcome === 'failed') {
			return {type, operationId, name, result: {kind: 'failed'}};
		}

		if (outcome === 'done' || outcome === 'stale') {
			const version = this.#apply(call);
			return version === undefined
				? {type, operationId, name, result: {kind: 'conflict'}}
				: {type, operationId, name, result: {kind: 'written', version}};
		}

		if (outcome === 'answer-lost') {
			this.#apply(call);
		}

		if (outcome === 'late') {
			this.#delayedWrites.push(call);
		}

		return {type, operationId, name, result: {kind: 'unknown'}};
	}

	#apply({name, expectedVersion, value}: WriteObject): number | undefined {
		const version = this.objects.get(name)?.version ?? 0;
		if (version !== expectedVersion) {
			return undefined;
		}

		this.#previousEntries.set(name, this.objects.get(name));
		this.objects.set(name, {
			version: version + 1,
			value: structuredClone(value),
		});
		return version + 1;
	}
}
