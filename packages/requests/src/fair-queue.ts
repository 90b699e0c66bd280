/** One customer's part of a queue. */
type Lane<Item> = {
	readonly items: Item[];
	weight: number;
	/** Service received, divided by the weight; the least is served next. */
	pass: number;
};

export type FairItem = {
	/** Whom the item counts for. */
	readonly laneName: string;
	readonly weight: number;
};

/**
 * A bounded queue that serves its lanes in proportion to their weights (stride
 * scheduling). In a lane the first to come is the first served.
 */
export class FairQueue<Item> {
	readonly #lanes = new Map<string, Lane<Item>>();
	readonly #maximumLength: number;
	#length = 0;
	/** Pass of the lane served last: where a lane that was empty starts. */
	#pass = 0;

	constructor(maximumLength: number) {
		this.#maximumLength = maximumLength;
	}

	get length(): number {
		return this.#length;
	}

	/**
	 * Adds an item at the end of its lane. When the queue is full, the newest
	 * item of the lane that is longest for its weight is handed back instead.
	 */
	add(item: Item, {laneName, weight}: FairItem): Item | undefined {
		if (this.#length === 0) {
			// An empty queue forgets who was served: nobody waits for anything.
			this.#lanes.clear();
		}

		const lane = this.#getLane(laneName, weight);
		lane.items.push(item);
		this.#length++;
		return this.#length > this.#maximumLength ? this.#removeLeast() : undefined;
	}

	/** Takes the item whose turn it is. */
	takeNext(): Item | undefined {
		const next = this.#findNext();
		if (next === undefined) {
			return undefined;
		}

		const [laneName, lane] = next;
		this.#pass = lane.pass;
		lane.pass += 1 / lane.weight;
		return this.#removeAt(laneName, lane, 0);
	}

	/** Undoes `takeNext` for an item that found no room. */
	putBack(item: Item, {laneName, weight}: FairItem): void {
		const lane = this.#getLane(laneName, weight);
		lane.items.unshift(item);
		lane.pass -= 1 / lane.weight;
		this.#pass = Math.min(this.#pass, lane.pass);
		this.#length++;
	}

	/** Removes an item that no longer waits. */
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
			const created = {items: [], weight, pass: this.#pass + 1 / weight};
			this.#lanes.set(laneName, created);
			return created;
		}

		if (lane.items.length === 0) {
			// An idle lane saves up no claim to service.
			lane.pass = Math.max(lane.pass, this.#pass);
		}

		lane.weight = weight;
		return lane;
	}

	#findNext(): [string, Lane<Item>] | undefined {
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

	#removeLeast(): Item | undefined {
		let longest: [string, Lane<Item>] | undefined;
		for (const [laneName, lane] of this.#lanes) {
			const share = lane.items.length / lane.weight;
			if (
				longest === undefined ||
				share > longest[1].items.length / longest[1].weight
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
