import type {Milliseconds} from '@parsleyvale/shared';
import type {Context, ObjectRead, ObjectWritten} from '@parsleyvale/kernel';
import type {KeyFreshness} from './key-freshness.js';
import {storedWithdrawalsSchema} from './messages.js';
import {WithdrawalSet} from './withdrawal-set.js';

/** @internal */
export const withdrawalsObject = 'key-withdrawals';

const readInterval: Milliseconds = 500;
const answerTimeout: Milliseconds = 10_000;

/** Hosts other than the one that an operator asked wait before they write. */
const helpAfter: Milliseconds = 3000;

type Parts = {
	readonly incarnation: string;
	readonly random: () => number;
	readonly withdrawals: WithdrawalSet;
	readonly freshness: KeyFreshness;
};

type Write = {
	readonly id: string;
	readonly hashes: readonly string[];
	readonly sentAt: Milliseconds;
};

/**
 * The withdrawn keys in the platform's store: reads them twice a second, which
 * gives the right to accept keys, and writes those that the store lacks.
 *
 * @internal
 */
export class StoredWithdrawals {
	readonly #parts: Parts;
	readonly #stored = new WithdrawalSet();
	readonly #reads = new Map<string, Milliseconds>();
	#operationCount = 0;
	#version = 0;
	#hasRead = false;
	#readAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#write: Write | undefined;
	#writeAt: Milliseconds | undefined;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Whether the store is known to have the withdrawal. */
	has(hash: string): boolean {
		return this.#stored.has(hash);
	}

	/** Writes as soon as it can, rather than leave it to another host. */
	wantWrite(now: Milliseconds): void {
		this.#writeAt = now;
	}

	onTick(isReader: boolean, context: Context): void {
		const wantsRead = isReader || this.#writeAt !== undefined;
		if (wantsRead && context.now - this.#readAt >= readInterval) {
			this.#read(context);
		}

		this.#writeMissing(context);
	}

	onRead(event: ObjectRead): void {
		const sentAt = this.#reads.get(event.operationId);
		this.#reads.delete(event.operationId);
		if (sentAt === undefined || event.result.kind === 'failed') {
			return;
		}

		if (event.result.kind === 'missing') {
			this.#onKnown(0, [], sentAt);
			return;
		}

		const {version, value} = event.result.object;
		const parsed = storedWithdrawalsSchema.safeParse(value);
		if (parsed.success) {
			this.#onKnown(version, parsed.data.hashes, sentAt);
		}
	}

	onWritten(event: ObjectWritten): void {
		const write = this.#write;
		if (write?.id !== event.operationId) {
			return;
		}

		this.#write = undefined;
		if (event.result.kind === 'written') {
			this.#version = Math.max(this.#version, event.result.version);
			this.#stored.addAll(write.hashes);
			return;
		}

		// Only a read can tell what the store has now.
		this.#hasRead = false;
		this.#readAt = Number.NEGATIVE_INFINITY;
	}

	#onKnown(
		version: number,
		hashes: readonly string[],
		sentAt: Milliseconds,
	): void {
		this.#parts.withdrawals.addAll(hashes);
		this.#stored.addAll(hashes);
		if (version < this.#version) {
			return;
		}

		this.#version = version;
		this.#hasRead = true;
		this.#parts.freshness.onStoreKnown(sentAt);
	}

	#read(context: Context): void {
		this.#readAt = context.now;
		const operationId = this.#createOperationId();
		this.#reads.set(operationId, context.now);
		for (const [id, sentAt] of this.#reads) {
			if (context.now - sentAt > answerTimeout) {
				this.#reads.delete(id);
			}
		}

		context.emit({type: 'read-object', operationId, name: withdrawalsObject});
	}

	#writeMissing(context: Context): void {
		const {withdrawals, random} = this.#parts;
		if (withdrawals.isWithin(this.#stored)) {
			this.#writeAt = undefined;
			return;
		}

		this.#writeAt ??= context.now + helpAfter * (1 + random());
		const isWaiting =
			this.#write !== undefined &&
			context.now - this.#write.sentAt < answerTimeout;
		if (context.now >= this.#writeAt && this.#hasRead && !isWaiting) {
			this.#sendWrite(context);
		}
	}

	#sendWrite(context: Context): void {
		const hashes = this.#parts.withdrawals.list();
		const id = this.#createOperationId();
		this.#write = {id, hashes, sentAt: context.now};
		context.emit({
			type: 'write-object',
			operationId: id,
			name: withdrawalsObject,
			expectedVersion: this.#version,
			value: {hashes},
		});
	}

	#createOperationId(): string {
		const count = this.#operationCount++;
		return `${withdrawalsObject}/${this.#parts.incarnation}/${count}`;
	}
}
