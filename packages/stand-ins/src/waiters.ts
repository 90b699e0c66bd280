import type {Milliseconds} from '@parsleyvale/shared';

type Waiter = {
	readonly onChanged: () => void;
	readonly timer: NodeJS.Timeout;
};

/** Long polls that wait for changes under a name. */
export class Waiters {
	readonly #waiters = new Map<string, Set<Waiter>>();

	/** Resolves on the next change under the name or at the end of the wait. */
	async wait(name: string, span: Milliseconds): Promise<void> {
		await new Promise<void>((resolve) => {
			const waiter: Waiter = {
				onChanged: resolve,
				timer: setTimeout(() => {
					this.#remove(name, waiter);
					resolve();
				}, span),
			};
			const waiters = this.#waiters.get(name) ?? new Set();
			this.#waiters.set(name, waiters.add(waiter));
		});
	}

	/** Ends the waits under a name. */
	emit(name: string): void {
		for (const waiter of this.#waiters.get(name) ?? []) {
			clearTimeout(waiter.timer);
			waiter.onChanged();
		}

		this.#waiters.delete(name);
	}

	/** Ends all waits. */
	close(): void {
		for (const name of this.#waiters.keys()) {
			this.emit(name);
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
