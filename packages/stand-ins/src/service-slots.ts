/** The result of waiting for a slot. */
export type SlotResult = 'granted' | 'shed' | 'aborted';

type SlotWaiter = (result: SlotResult) => void;

/** Limits the number of concurrent requests, with a bounded queue for further ones. */
export class ServiceSlots {
	readonly #slots: number;
	readonly #queueLength: number;
	readonly #queue = new Set<SlotWaiter>();
	#inService = 0;

	constructor(slots: number, queueLength: number) {
		this.#slots = slots;
		this.#queueLength = queueLength;
	}

	/** Number of requests running and queued. */
	get inFlight(): number {
		return this.#inService + this.#queue.size;
	}

	/** Waits for a slot; a caller that was granted one must release it. */
	async acquire(signal: AbortSignal): Promise<SlotResult> {
		if (signal.aborted) {
			return 'aborted';
		}

		if (this.#inService < this.#slots) {
			this.#inService += 1;
			return 'granted';
		}

		return this.#queue.size < this.#queueLength
			? this.#waitInQueue(signal)
			: 'shed';
	}

	/** Passes the slot to the first waiter in the queue, if any. */
	release(): void {
		const [firstWaiter] = this.#queue;
		if (firstWaiter === undefined) {
			this.#inService -= 1;
			return;
		}

		firstWaiter('granted');
	}

	async #waitInQueue(signal: AbortSignal): Promise<SlotResult> {
		return new Promise((resolve) => {
			const onAbort = (): void => {
				waiter('aborted');
			};

			const waiter: SlotWaiter = (result) => {
				this.#queue.delete(waiter);
				signal.removeEventListener('abort', onAbort);
				resolve(result);
			};

			this.#queue.add(waiter);
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}
}
