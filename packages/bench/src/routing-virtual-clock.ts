import type {Milliseconds} from '@parsleyvale/shared';

type Entry = {
	readonly at: Milliseconds;
	readonly order: number;
	readonly run: () => void;
};

/** Runs what is due in the order of time, without waiting for it. */
export class VirtualClock {
	#now: Milliseconds = 0;
	#order = 0;
	readonly #heap: Entry[] = [];

	get now(): Milliseconds {
		return this.#now;
	}

	/** Calls `run` after `span` milliseconds. */
	start(span: Milliseconds, run: () => void): void {
		this.#order++;
		this.#heap.push({at: this.#now + span, order: this.#order, run});
		this.#sortUp(this.#heap.length - 1);
	}

	/** Runs everything that is due up to `end`. */
	runUntil(end: Milliseconds): void {
		for (;;) {
			const next = this.#heap[0];
			if (next === undefined || next.at > end) {
				this.#now = end;
				return;
			}

			this.#removeFirst();
			this.#now = next.at;
			next.run();
		}
	}

	#removeFirst(): void {
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#sortDown(0);
		}
	}

	#sortUp(start: number): void {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!this.#isBefore(index, parent)) {
				return;
			}

			this.#applySwap(index, parent);
			index = parent;
		}
	}

	#sortDown(start: number): void {
		let index = start;
		for (;;) {
			let first = index;
			for (const child of [2 * index + 1, 2 * index + 2]) {
				if (child < this.#heap.length && this.#isBefore(child, first)) {
					first = child;
				}
			}

			if (first === index) {
				return;
			}

			this.#applySwap(index, first);
			index = first;
		}
	}

	#isBefore(one: number, other: number): boolean {
		const left = this.#heap[one]!;
		const right = this.#heap[other]!;
		return (
			left.at < right.at || (left.at === right.at && left.order < right.order)
		);
	}

	#applySwap(one: number, other: number): void {
		const kept = this.#heap[one]!;
		this.#heap[one] = this.#heap[other]!;
		this.#heap[other] = kept;
	}
}
