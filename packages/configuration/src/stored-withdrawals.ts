import type {Milliseconds} from '@parsleyvale/shared';
import type {Context, ObjectRead, ObjectWritten} from '@parsleyvale/kernel';
import type {KeyFreshness} from './key-freshness.js';
import {storedWithdrawalsSchema} from './messages.js';
import {WithdrawalSet} from './withdrawal-set.js';

/** @internal */
export const withdrawalsObject = 'key-withdrawals';

/** Interval between reads, each of which may renew the freshness lease. */
const withdrawalsReadInterval: Milliseconds = 500;

/** A read or write without an answer is given up after this time. */
const storeTimeout: Milliseconds = 10_000;

/** Minimum delay before a host writes withdrawals requested at another host. */
const takeoverDelay: Milliseconds = 3000;

type Dependencies = {
	readonly incarnation: string;
	readonly random: () => number;
	readonly withdrawnKeys: WithdrawalSet;
	readonly freshness: KeyFreshness;
};

type Write = {
	readonly id: string;
	readonly hashes: readonly string[];
	readonly sentAt: Milliseconds;
};

/**
 * Synchronizes withdrawn keys with the platform's store: reads the stored list,
 * which renews the freshness lease, and writes missing entries.
 *
 * @internal
 */
export class StoredWithdrawals {
	readonly #dependencies: Dependencies;
	readonly #stored = new WithdrawalSet();
	readonly #reads = new Map<string, Milliseconds>();
	#operationCount = 0;
	#version = 0;
	#isVersionKnown = false;
	#readAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#writeInFlight: Write | undefined;
	#writeDueAt: Milliseconds | undefined;

	constructor(dependencies: Dependencies) {
		this.#dependencies = dependencies;
	}

	/** Whether the store is known to hold the withdrawal. */
	has(hash: string): boolean {
		return this.#stored.has(hash);
	}

	/** Schedules a write immediately instead of leaving it to another host. */
	requestWrite(now: Milliseconds): void {
		this.#writeDueAt = now;
	}

	onTick(readsStore: boolean, context: Context): void {
		const isReadNeeded = readsStore || this.#writeDueAt !== undefined;
		if (isReadNeeded && context.now - this.#readAt >= withdrawalsReadInterval) {
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
			this.#addStored(0, [], sentAt);
			return;
		}

		const {version, value} = event.result.object;
		const parsed = storedWithdrawalsSchema.safeParse(value);
		if (parsed.success) {
			this.#addStored(version, parsed.data.hashes, sentAt);
		}
	}

	onWritten(event: ObjectWritten): void {
		const write = this.#writeInFlight;
		if (write?.id !== event.operationId) {
			return;
		}

		this.#writeInFlight = undefined;
		if (event.result.kind === 'written') {
			this.#version = Math.max(this.#version, event.result.version);
			this.#stored.addAll(write.hashes);
			return;
		}

		// The stored version is unknown until the next read.
		this.#isVersionKnown = false;
		this.#readAt = Number.NEGATIVE_INFINITY;
	}

	#addStored(
		version: number,
		hashes: readonly string[],
		sentAt: Milliseconds,
	): void {
		this.#dependencies.withdrawnKeys.addAll(hashes);
		this.#stored.addAll(hashes);
		if (version < this.#version) {
			return;
		}

		this.#version = version;
		this.#isVersionKnown = true;
		this.#dependencies.freshness.renewFromStore(sentAt);
	}

	#read(context: Context): void {
		this.#readAt = context.now;
		const operationId = this.#createOperationId();
		this.#reads.set(operationId, context.now);
		for (const [id, sentAt] of this.#reads) {
			if (context.now - sentAt > storeTimeout) {
				this.#reads.delete(id);
			}
		}

		context.emit({type: 'read-object', operationId, name: withdrawalsObject});
	}

	#writeMissing(context: Context): void {
		const {withdrawnKeys, random} = this.#dependencies;
		if (withdrawnKeys.isSubsetOf(this.#stored)) {
			this.#writeDueAt = undefined;
			return;
		}

		this.#writeDueAt ??= context.now + takeoverDelay * (1 + random());
		const isWriteInFlight =
			this.#writeInFlight !== undefined &&
			context.now - this.#writeInFlight.sentAt < storeTimeout;
		if (
			context.now >= this.#writeDueAt &&
			this.#isVersionKnown &&
			!isWriteInFlight
		) {
			this.#sendWrite(context);
		}
	}

	#sendWrite(context: Context): void {
		const hashes = this.#dependencies.withdrawnKeys.list();
		const id = this.#createOperationId();
		this.#writeInFlight = {id, hashes, sentAt: context.now};
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
		return `${withdrawalsObject}/${this.#dependencies.incarnation}/${count}`;
	}
}
