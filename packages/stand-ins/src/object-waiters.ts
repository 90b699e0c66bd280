import type {Milliseconds} from '@parsleyvale/shared';

type Waiter = {
	readonly resolve: () => void;
	readonly timer: NodeJS.Timeout;
};

/** Long polls waiting for a change of an object. */
export class ObjectWaiters {
	readonly #waiters = new Map<string, Set<Waiter>>();

	/** Resolves on the next change of the object or after the timeout. */
	async wait(name: string, timeout: Milliseconds): Promise<void> {
		await new Promise<void>((resolve) => {
			const waiter: Waiter = {
				resolve,
				timer: setTimeout(() => {
					this.#remove(name, waiter);
					resolve();
				}, timeout),
			};
			const waiters = this.#waiters.get(name) ?? new Set();
			this.#waiters.set(name, waiters.add(waiter));
		});
	}

	/** Wakes all waiters of an object. */
	notify(name: string): void {
		for (const waiter of this.#waiters.get(name) ?? []) {
			clearTimeout(waiter.timer);
			waiter.resolve();
		}

		this.#waiters.delete(name);
	}

	/** Wakes all waiters. */
	close(): void {
		for (const name of this.#waiters.keys()) {
			this.notify(name);
		}
	}

	#remove(name: string, waiter: Waiter): void {
		const waiters = this.#waiters.get(name);
		waiters?.delete(waiter);
		if (waiters?.size === 0) {
			this.#waiters.delete(name);
		}
	}
}
