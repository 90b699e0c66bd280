import type {Milliseconds, PoolName, RequestId} from '@parsleyvale/shared';

type Waiter = {
	readonly pool: PoolName;
	readonly since: Milliseconds;
	readonly deadline: Milliseconds;
};

/** Requests that were told `no-room` and may come again. */
export class Waiters {
	readonly #waiters = new Map<RequestId, Waiter>();
	readonly #counts = new Map<PoolName, number>();

	add(requestId: RequestId, waiter: Waiter): void {
		if (this.#waiters.has(requestId)) {
			return;
		}

		this.#waiters.set(requestId, waiter);
		this.#counts.set(waiter.pool, this.count(waiter.pool) + 1);
	}

	remove(requestId: RequestId): void {
		const waiter = this.#waiters.get(requestId);
		if (waiter === undefined) {
			return;
		}

		this.#waiters.delete(requestId);
		const left = this.count(waiter.pool) - 1;
		if (left === 0) {
			this.#counts.delete(waiter.pool);
		} else {
			this.#counts.set(waiter.pool, left);
		}
	}

	removeExpired(now: Milliseconds): void {
		for (const [requestId, waiter] of this.#waiters) {
			if (waiter.deadline <= now) {
				this.remove(requestId);
			}
		}
	}

	count(pool: PoolName): number {
		return this.#counts.get(pool) ?? 0;
	}

	/** How long the request has waited so far. */
	getWaited(requestId: RequestId, now: Milliseconds): Milliseconds {
		const waiter = this.#waiters.get(requestId);
		return waiter === undefined ? 0 : now - waiter.since;
	}

	/** Pools in which requests wait. */
	listPools(): PoolName[] {
		return [...this.#counts.keys()];
	}
}
