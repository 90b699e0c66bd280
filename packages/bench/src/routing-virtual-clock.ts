import type {Milliseconds} from '@parsleyvale/shared';

type Timer = {
	readonly dueAt: Milliseconds;
	readonly sequence: number;
	readonly callback: () => void;
};

/** Simulated time: runs callbacks in the order of their due times without waiting. */
export class VirtualClock {
	#now: Milliseconds = 0;
	#sequence = 0;
	readonly #heap: Timer[] = [];

	get now(): Milliseconds {
		return this.#now;
	}

	/** Schedules a callback after a delay. */
	schedule(delay: Milliseconds, callback: () => void): void {
		this.#sequence++;
		this.#heap.push({
			dueAt: this.#now + delay,
			sequence: this.#sequence,
			callback,
		});
		this.#siftUp(this.#heap.length - 1);
	}

	/** Runs all callbacks that are due up to `end`. */
	runUntil(end: Milliseconds): void {
		for (;;) {
			const next = this.#heap[0];
			if (next === undefined || next.dueAt > end) {
				this.#now = end;
				return;
			}

			this.#removeFirst();
			this.#now = next.dueAt;
			next.callback();
		}
	}

	#removeFirst(): void {
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#siftDown(0);
		}
	}

	#siftUp(startIndex: number): void {
		let index = startIndex;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isBefore(index, parent)) {
				return;
			}

			this.#swap(index, parent);
			index = parent;
		}
	}

	#siftDown(startIndex: number): void {
		let index = startIndex;
		for (;;) {
			let earliest = index;
			for (const child of [2 * index + 1, 2 * index + 2]) {
				if (child < this.#heap.length && this.#isBefore(child, earliest)) {
					earliest = child;
				}
			}

			if (earliest === index) {
				return;
			}

			this.#swap(index, earliest);
			index = earliest;
		}
	}

	#isBefore(index: number, otherIndex: number): boolean {
		const left = this.#heap[index]!;
		const right = this.#heap[otherIndex]!;
		return (
			left.dueAt < right.dueAt ||
			(left.dueAt === right.dueAt && left.sequence < right.sequence)
		);
	}

	#swap(index: number, otherIndex: number): void {
		const timer = this.#heap[index]!;
		this.#heap[index] = this.#heap[otherIndex]!;
		this.#heap[otherIndex] = timer;
	}
}
