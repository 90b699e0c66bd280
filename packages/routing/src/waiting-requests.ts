import type {Milliseconds, PoolName, RequestId} from '@parsleyvale/shared';

type WaitingRequest = {
	readonly pool: PoolName;
	readonly since: Milliseconds;
	readonly deadline: Milliseconds;
};

/** Requests that were refused with `no-room` and may be placed later; packages/requests queues them. */
export class WaitingRequests {
	readonly #requests = new Map<RequestId, WaitingRequest>();
	readonly #counts = new Map<PoolName, number>();

	add(requestId: RequestId, waitingRequest: WaitingRequest): void {
		if (this.#requests.has(requestId)) {
			return;
		}

		this.#requests.set(requestId, waitingRequest);
		this.#counts.set(waitingRequest.pool, this.count(waitingRequest.pool) + 1);
	}

	remove(requestId: RequestId): void {
		const waitingRequest = this.#requests.get(requestId);
		if (waitingRequest === undefined) {
			return;
		}

		this.#requests.delete(requestId);
		const remaining = this.count(waitingRequest.pool) - 1;
		if (remaining === 0) {
			this.#counts.delete(waitingRequest.pool);
		} else {
			this.#counts.set(waitingRequest.pool, remaining);
		}
	}

	removeExpired(now: Milliseconds): void {
		for (const [requestId, waitingRequest] of this.#requests) {
			if (waitingRequest.deadline <= now) {
				this.remove(requestId);
			}
		}
	}

	count(pool: PoolName): number {
		return this.#counts.get(pool) ?? 0;
	}

	/** Returns how long the request has been waiting. */
	getWaitTime(requestId: RequestId, now: Milliseconds): Milliseconds {
		const waitingRequest = this.#requests.get(requestId);
		return waitingRequest === undefined ? 0 : now - waitingRequest.since;
	}

	/** Lists the pools with waiting requests. */
	listPools(): PoolName[] {
		return [...this.#counts.keys()];
	}
}
