import type {
	Context,
	ObjectRead,
	ObjectWritten,
	StoredObject,
} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {ledgerSchema, type Entry, type VersionedLedger} from './ledger.js';
import type {Safeguards} from './safeguards.js';
import {ledgerReadPeriod, storeFreshness, storeRetryPeriod} from './timing.js';

/** A write of the ledger on its way. */
export type LedgerWrite = {
	readonly expectedVersion: number;
	readonly entries: readonly Entry[];
	readonly sentAt: Milliseconds;
	/** The entry that tells, when read back, whether the write was applied. */
	readonly mark: Entry;
};

type State =
	| 'unread'
	| 'reading'
	| 'ready'
	| 'writing'
	/** The write was sent and its fate is not known. */
	| 'unresolved'
	| 'resolving';

/** What became of a write. */
export type WriteListener = (
	write: LedgerWrite,
	isApplied: boolean,
	context: Context,
) => void;

/** Reads, watches and conditionally updates one group's ledger. */
export class LedgerClient {
	readonly name: string;
	ledger: VersionedLedger = {version: 0, entries: []};
	write: LedgerWrite | undefined;
	readonly #safeguards: Safeguards;
	readonly #onWriteEnded: WriteListener;
	#state: State = 'unread';
	#operations = 0;
	#nextCallAt = Number.NEGATIVE_INFINITY;
	/** When the store last answered a read or a write. */
	#answeredAt = Number.NEGATIVE_INFINITY;
	#nextWriteAt = Number.NEGATIVE_INFINITY;
	#isMissing = false;
	/** Whether an attempt of the present write may have been applied. */
	#mayBeApplied = false;

	constructor(
		name: string,
		safeguards: Safeguards,
		onWriteEnded: WriteListener,
	) {
		this.name = name;
		this.#safeguards = safeguards;
		this.#onWriteEnded = onWriteEnded;
	}

	/** Whether neither a read nor a write is on its way. */
	isIdle(now: Milliseconds): boolean {
		return this.#state === 'ready' && now >= this.#nextWriteAt;
	}

	/** Whether the store answered so lately that a write may be sent. */
	isFresh(now: Milliseconds): boolean {
		return now - this.#answeredAt < storeFreshness;
	}

	/** Whether the store said that there is no ledger yet. */
	get isMissing(): boolean {
		return this.#isMissing && this.ledger.version === 0;
	}

	start(context: Context): void {
		context.emit({type: 'watch-object', name: this.name});
	}

	/** Reads, so that a write may follow. */
	refresh(context: Context): void {
		this.#read(context, 'reading');
	}

	/** Does what time demands: reads again, or repeats a write. */
	advance(context: Context): void {
		if (context.now < this.#nextCallAt) {
			return;
		}

		if (this.#state === 'unread' || this.#state === 'ready') {
			this.#read(context, 'reading');
		} else {
			// An answer that never came is like one that was lost.
			this.#mayBeApplied ||= this.#state === 'writing';
			this.#read(context, this.write === undefined ? 'reading' : 'resolving');
		}
	}

	send(write: LedgerWrite, context: Context): void {
		this.#mayBeApplied &&= this.write === write;
		this.write = write;
		this.#state = 'writing';
		this.#nextCallAt = context.now + 2 * storeRetryPeriod;
		context.emit({
			type: 'write-object',
			operationId: this.#createOperationId(),
			name: this.name,
			expectedVersion: write.expectedVersion,
			value: {entries: write.entries},
		});
	}

	onRead(event: ObjectRead, context: Context): void {
		if (event.operationId !== this.#operationId) {
			return;
		}

		if (event.result.kind === 'failed') {
			this.#state = this.write === undefined ? 'unread' : 'unresolved';
			this.#nextCallAt = context.now + storeRetryPeriod;
			return;
		}

		this.#answeredAt = context.now;
		this.#nextCallAt = context.now + ledgerReadPeriod;
		if (event.result.kind === 'found') {
			this.onObject(event.result.object, context);
		} else {
			this.#isMissing = true;
		}

		if (this.write === undefined) {
			this.#state = 'ready';
		} else {
			this.send(this.write, context);
		}
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const {write} = this;
		if (event.operationId !== this.#operationId || write === undefined) {
			return;
		}

		const {result} = event;
		if (result.kind === 'written') {
			this.#answeredAt = context.now;
			this.#setLedger({version: result.version, entries: write.entries});
			this.#endWrite(true, context);
			return;
		}

		this.#nextWriteAt = context.now + storeRetryPeriod / 4;
		this.#mayBeApplied ||=
			result.kind === 'unknown' && this.#safeguards.keepUnknownWrite;
		if (this.#mayBeApplied) {
			this.#state = 'unresolved';
		} else {
			this.#endWrite(false, context);
			this.#state = 'unread';
		}

		const isReached = result.kind === 'conflict';
		this.#nextCallAt = context.now + (isReached ? 0 : storeRetryPeriod);
		this.advance(context);
	}

	/** Takes a newer ledger; stale ones are passed over. */
	onObject(object: StoredObject, context: Context): void {
		const parsed = ledgerSchema.safeParse(object.value);
		if (object.version <= this.ledger.version || !parsed.success) {
			return;
		}

		this.#setLedger({version: object.version, entries: parsed.data.entries});
		if (
			this.write !== undefined &&
			this.write.expectedVersion < object.version
		) {
			const {mark} = this.write;
			const found = parsed.data.entries.find((entry) => entry.id === mark.id);
			const isApplied =
				found?.epoch === mark.epoch &&
				found.renewal === mark.renewal &&
				found.holder.incarnation === mark.holder.incarnation &&
				found.holder.name === mark.holder.name;
			this.#endWrite(isApplied, context);
		}
	}

	#setLedger(ledger: VersionedLedger): void {
		if (ledger.version > this.ledger.version) {
			this.ledger = ledger;
		}
	}

	#endWrite(isApplied: boolean, context: Context): void {
		const write = this.write!;
		this.write = undefined;
		this.#mayBeApplied = false;
		this.#state = 'ready';
		this.#nextCallAt = context.now + ledgerReadPeriod;
		this.#onWriteEnded(write, isApplied, context);
	}

	#read(context: Context, state: State): void {
		this.#state = state;
		this.#nextCallAt = context.now + 2 * storeRetryPeriod;
		context.emit({
			type: 'read-object',
			operationId: this.#createOperationId(),
			name: this.name,
		});
	}

	get #operationId(): string {
		return `${this.name}#${this.#operations}`;
	}

	#createOperationId(): string {
		this.#operations++;
		return this.#operationId;
	}
}
