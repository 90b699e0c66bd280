/** Why a request got no slot. */
export type SlotResult = 'granted' | 'shed' | 'aborted';

type Waiter = (result: SlotResult) => void;

/** Requests in service at once, with a short queue before them. */
export class ServiceSlots {
	readonly #slots: number;
	readonly #queueLength: number;
	readonly #queue = new Set<Waiter>();
	#inService = 0;

	constructor(slots: number, queueLength: number) {
		this.#slots = slots;
		this.#queueLength = queueLength;
	}

	/** Requests in service and in the queue. */
	get inFlight(): number {
		return this.#inService + this.#queue.size;
	}

	/** Waits for a slot; whoever is granted one releases it. */
	async claim(signal: AbortSignal): Promise<SlotResult> {
		if (signal.aborted) {
			return 'aborted';
		}

		if (this.#inService < this.#slots) {
			this.#inService += 1;
			return 'granted';
		}

		return this.#queue.size < this.#queueLength ? this.#wait(signal) : 'shed';
	}

	/** Hands the slot to the first in the queue, if any. */
	release(): void {
		const [first] = this.#queue;
		if (first === undefined) {
			this.#inService -= 1;
			return;
		}

		first('granted');
	}

	async #wait(signal: AbortSignal): Promise<SlotResult> {
		return new Promise((resolve) => {
			const onAbort = (): void => {
				waiter('aborted');
			};

			const waiter: Waiter = (result) => {
				this.#queue.delete(waiter);
				signal.removeEventListener('abort', onAbort);
				resolve(result);
			};

			this.#queue.add(waiter);
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}
}
