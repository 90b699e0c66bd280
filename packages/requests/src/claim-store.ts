import type {Context} from '@parsleyvale/kernel';
import type {ClaimEntry} from './claim-entry.js';
import type {ClaimObject} from './claim-object.js';

/** The calls of one host to the store about its claims. */
export class ClaimStore {
	readonly #prefix: string;
	readonly #entries = new Map<string, ClaimEntry>();
	#calls = 0;

	constructor(incarnation: string) {
		this.#prefix = `claims/${incarnation}`;
	}

	read(entry: ClaimEntry, context: Context): void {
		const operationId = this.#begin(entry, context);
		context.emit({type: 'read-object', operationId, name: entry.name});
	}

	/** Writes the object if it still has the version that the entry knows. */
	write(entry: ClaimEntry, value: ClaimObject | null, context: Context): void {
		const operationId = this.#begin(entry, context);
		context.emit({
			type: 'write-object',
			operationId,
			name: entry.name,
			expectedVersion: entry.version,
			value,
		});
	}

	/** The entry whose latest call this is; it is answered with this. */
	end(operationId: string): ClaimEntry | undefined {
		const entry = this.#entries.get(operationId);
		this.#entries.delete(operationId);
		if (entry?.operationId !== operationId) {
			return undefined;
		}

		entry.operationId = undefined;
		return entry;
	}

	/** Gives up waiting for the answer to the entry's call. */
	cancel(entry: ClaimEntry): void {
		if (entry.operationId !== undefined) {
			this.#entries.delete(entry.operationId);
			entry.operationId = undefined;
		}
	}

	#begin(entry: ClaimEntry, context: Context): string {
		this.cancel(entry);
		this.#calls++;
		const operationId = `${this.#prefix}/${this.#calls}`;
		entry.operationId = operationId;
		entry.calledAt = context.now;
		this.#entries.set(operationId, entry);
		return operationId;
	}
}
