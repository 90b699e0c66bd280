/** The items of one customer. */
type Lane<Item> = {
	readonly items: Item[];
	weight: number;
	/** Service received divided by weight; the lane with the lowest is next. */
	pass: number;
};

export type LaneOptions = {
	/** Lane that the item belongs to. */
	readonly laneName: string;
	readonly weight: number;
};

/**
 * Bounded queue that serves its lanes in proportion to their weights (stride
 * scheduling). Each lane is first in, first out.
 */
export class FairQueue<Item> {
	readonly #lanes = new Map<string, Lane<Item>>();
	readonly #maximumLength: number;
	#length = 0;
	/** Pass of the lane that was served last; lanes that were empty continue from it. */
	#globalPass = 0;

	constructor(maximumLength: number) {
		this.#maximumLength = maximumLength;
	}

	get length(): number {
		return this.#length;
	}

	/**
	 * Adds an item at the end of its lane. When the queue is full, evicts and
	 * returns the newest item of the lane that is longest relative to its weight.
	 */
	add(item: Item, {laneName, weight}: LaneOptions): Item | undefined {
		if (this.#length === 0) {
			// An empty queue forgets which lanes were served.
			this.#lanes.clear();
		}

		const lane = this.#getLane(laneName, weight);
		lane.items.push(item);
		this.#length++;
		return this.#length > this.#maximumLength ? this.#evictNewest() : undefined;
	}

	/** Removes and returns the next item. */
	takeNext(): Item | undefined {
		const next = this.#findNextLane();
		if (next === undefined) {
			return undefined;
		}

		const [laneName, lane] = next;
		this.#globalPass = lane.pass;
		lane.pass += 1 / lane.weight;
		return this.#removeAt(laneName, lane, 0);
	}

	/** Reverts `takeNext` for an item that could not be served. */
	putBack(item: Item, {laneName, weight}: LaneOptions): void {
		const lane = this.#getLane(laneName, weight);
		lane.items.unshift(item);
		lane.pass -= 1 / lane.weight;
		this.#globalPass = Math.min(this.#globalPass, lane.pass);
		this.#length++;
	}

	/** Removes an item from its lane; returns whether it was queued. */
	remove(item: Item, laneName: string): boolean {
		const lane = this.#lanes.get(laneName);
		const index = lane?.items.indexOf(item) ?? -1;
		if (lane === undefined || index === -1) {
			return false;
		}

		this.#removeAt(laneName, lane, index);
		return true;
	}

	#getLane(laneName: string, weight: number): Lane<Item> {
		const lane = this.#lanes.get(laneName);
		if (lane === undefined) {
			const newLane = {items: [], weight, pass: this.#globalPass + 1 / weight};
			this.#lanes.set(laneName, newLane);
			return newLane;
		}

		if (lane.items.length === 0) {
			// An idle lane accumulates no credit.
			lane.pass = Math.max(lane.pass, this.#globalPass);
		}

		lane.weight = weight;
		return lane;
	}

	#findNextLane(): [string, Lane<Item>] | undefined {
		let next: [string, Lane<Item>] | undefined;
		for (const [laneName, lane] of this.#lanes) {
			if (
				lane.items.length > 0 &&
				(next === undefined || lane.pass < next[1].pass)
			) {
				next = [laneName, lane];
			}
		}

		return next;
	}

	#evictNewest(): Item | undefined {
		let longest: [string, Lane<Item>] | undefined;
		for (const [laneName, lane] of this.#lanes) {
			const weightedLength = lane.items.length / lane.weight;
			if (
				longest === undefined ||
				weightedLength > longest[1].items.length / longest[1].weight
			) {
				longest = [laneName, lane];
			}
		}

		return longest === undefined
			? undefined
			: this.#removeAt(longest[0], longest[1], longest[1].items.length - 1);
	}

	#removeAt(laneName: string, lane: Lane<Item>, index: number): Item {
		const [item] = lane.items.splice(index, 1);
		this.#length--;
		return item!;
	}
}
