import type {Context} from '@parsleyvale/kernel';
import type {ClaimEntry} from './claim-entry.js';
import type {ClaimObject} from './claim-object.js';

/** Store operations of one host on its claims. */
export class ClaimStore {
	readonly #prefix: string;
	readonly #entriesByOperation = new Map<string, ClaimEntry>();
	#operationCount = 0;

	constructor(incarnation: string) {
		this.#prefix = `claims/${incarnation}`;
	}

	read(entry: ClaimEntry, context: Context): void {
		const operationId = this.#startOperation(entry, context);
		context.emit({type: 'read-object', operationId, name: entry.name});
	}

	/** Writes the object if its version is still the one in the entry. */
	write(entry: ClaimEntry, value: ClaimObject | null, context: Context): void {
		const operationId = this.#startOperation(entry, context);
		context.emit({
			type: 'write-object',
			operationId,
			name: entry.name,
			expectedVersion: entry.version,
			value,
		});
	}

	/**
	 * Records the end of an operation and returns its entry; undefined if the
	 * operation is not the latest one of its entry.
	 */
	endOperation(operationId: string): ClaimEntry | undefined {
		const entry = this.#entriesByOperation.get(operationId);
		this.#entriesByOperation.delete(operationId);
		if (entry?.operationId !== operationId) {
			return undefined;
		}

		entry.operationId = undefined;
		return entry;
	}

	/** Ignores the answer to the operation in flight, if any. */
	cancelOperation(entry: ClaimEntry): void {
		if (entry.operationId !== undefined) {
			this.#entriesByOperation.delete(entry.operationId);
			entry.operationId = undefined;
		}
	}

	#startOperation(entry: ClaimEntry, context: Context): string {
		this.cancelOperation(entry);
		this.#operationCount++;
		const operationId = `${this.#prefix}/${this.#operationCount}`;
		entry.operationId = operationId;
		entry.lastCallAt = context.now;
		this.#entriesByOperation.set(operationId, entry);
		return operationId;
	}
}
