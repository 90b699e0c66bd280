import type {
	Context,
	ObjectRead,
	ObjectWritten,
	StoredObject,
} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {
	ledgerSchema,
	type LedgerEntry,
	type VersionedLedger,
} from './ledger.js';
import type {Safeguards} from './safeguards.js';
import {
	ledgerPollInterval,
	maxStoreAnswerAge,
	storeRetryInterval,
} from './timing.js';

/** A write of the ledger that is in flight. */
export type LedgerWrite = {
	readonly expectedVersion: number;
	readonly entries: readonly LedgerEntry[];
	readonly sentAt: Milliseconds;
	/** The entry that shows, when read back, whether the write was applied. */
	readonly confirmationEntry: LedgerEntry;
};

type ClientState =
	/** No read is in flight, and a read is needed before the next write. */
	| 'unread'
	| 'reading'
	/** The ledger was read; a write may be sent. */
	| 'ready'
	| 'writing'
	/** The write may have been applied; no read is in flight. */
	| 'unresolved'
	/** A read to find out whether the write was applied is in flight. */
	| 'resolving';

/** Called once the outcome of a write is known. */
export type WriteListener = (
	write: LedgerWrite,
	isApplied: boolean,
	context: Context,
) => void;

/** Reads, watches and conditionally writes the ledger of one group. */
export class LedgerClient {
	ledger: VersionedLedger = {version: 0, entries: []};
	write: LedgerWrite | undefined;
	readonly #safeguards: Safeguards;
	readonly #onWriteEnded: WriteListener;
	#state: ClientState = 'unread';
	#operationCount = 0;
	#nextCallAt = Number.NEGATIVE_INFINITY;
	/** When the store last answered a read or a write. */
	#lastAnsweredAt = Number.NEGATIVE_INFINITY;
	#nextWriteAt = Number.NEGATIVE_INFINITY;
	#isMissing = false;
	/** Whether an attempt of the current write may have been applied. */
	#mayBeApplied = false;

	constructor(
		readonly objectName: string,
		safeguards: Safeguards,
		onWriteEnded: WriteListener,
	) {
		this.#safeguards = safeguards;
		this.#onWriteEnded = onWriteEnded;
	}

	/** Whether no read or write is in flight and a write may be sent. */
	isIdle(now: Milliseconds): boolean {
		return this.#state === 'ready' && now >= this.#nextWriteAt;
	}

	/** Whether the last answer of the store is recent enough to send a write. */
	hasRecentAnswer(now: Milliseconds): boolean {
		return now - this.#lastAnsweredAt < maxStoreAnswerAge;
	}

	/** Whether the store reported that the ledger does not exist yet. */
	get isMissing(): boolean {
		return this.#isMissing && this.ledger.version === 0;
	}

	watch(context: Context): void {
		context.emit({type: 'watch-object', name: this.objectName});
	}

	/** Reads the ledger again, so that a write may follow. */
	refresh(context: Context): void {
		this.#read(context, 'reading');
	}

	/**
	 * Reads the ledger again when due, also to resolve a write without an answer.
	 */
	advance(context: Context): void {
		if (context.now < this.#nextCallAt) {
			return;
		}

		if (this.#state === 'unread' || this.#state === 'ready') {
			this.#read(context, 'reading');
		} else {
			// A write that was never answered may have been applied.
			this.#mayBeApplied ||= this.#state === 'writing';
			this.#read(context, this.write === undefined ? 'reading' : 'resolving');
		}
	}

	sendWrite(write: LedgerWrite, context: Context): void {
		// A new write has not been attempted before.
		this.#mayBeApplied &&= this.write === write;
		this.write = write;
		this.#state = 'writing';
		this.#nextCallAt = context.now + 2 * storeRetryInterval;
		context.emit({
			type: 'write-object',
			operationId: this.#createOperationId(),
			name: this.objectName,
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
			this.#nextCallAt = context.now + storeRetryInterval;
			return;
		}

		this.#lastAnsweredAt = context.now;
		this.#nextCallAt = context.now + ledgerPollInterval;
		if (event.result.kind === 'found') {
			this.onObject(event.result.object, context);
		} else {
			this.#isMissing = true;
		}

		if (this.write === undefined) {
			this.#state = 'ready';
		} else {
			this.sendWrite(this.write, context);
		}
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const {write} = this;
		if (event.operationId !== this.#operationId || write === undefined) {
			return;
		}

		const {result} = event;
		if (result.kind === 'written') {
			this.#lastAnsweredAt = context.now;
			this.#setLedger({version: result.version, entries: write.entries});
			this.#endWrite(true, context);
			return;
		}

		this.#nextWriteAt = context.now + storeRetryInterval / 4;
		this.#mayBeApplied ||=
			result.kind === 'unknown' && this.#safeguards.keepUnknownWrite;
		if (this.#mayBeApplied) {
			this.#state = 'unresolved';
		} else {
			this.#endWrite(false, context);
			this.#state = 'unread';
		}

		const isConflict = result.kind === 'conflict';
		this.#nextCallAt = context.now + (isConflict ? 0 : storeRetryInterval);
		this.advance(context);
	}

	/** Accepts a newer ledger and ignores stale ones. */
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
			const {confirmationEntry} = this.write;
			const found = parsed.data.entries.find(
				(entry) => entry.id === confirmationEntry.id,
			);
			const isApplied =
				found?.epoch === confirmationEntry.epoch &&
				found.renewal === confirmationEntry.renewal &&
				found.holder.incarnation === confirmationEntry.holder.incarnation &&
				found.holder.name === confirmationEntry.holder.name;
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
		this.#nextCallAt = context.now + ledgerPollInterval;
		this.#onWriteEnded(write, isApplied, context);
	}

	#read(context: Context, state: ClientState): void {
		this.#state = state;
		this.#nextCallAt = context.now + 2 * storeRetryInterval;
		context.emit({
			type: 'read-object',
			operationId: this.#createOperationId(),
			name: this.objectName,
		});
	}

	get #operationId(): string {
		return `${this.objectName}#${this.#operationCount}`;
	}

	#createOperationId(): string {
		this.#operationCount++;
		return this.#operationId;
	}
}
