import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

export type HostListing = {
	readonly version: number;
	readonly hosts: readonly EntryHost[];
};

/** The platform's list of entry hosts, which shows changes after a lag. */
export class HostList {
	/** How long a change takes to show. */
	lag: Milliseconds = 0;

	readonly #hosts = new Map<string, EntryHost>();
	readonly #timers = new Set<NodeJS.Timeout>();
	readonly #onPublished: () => void;
	#changes = 0;
	#published: HostListing = {version: 0, hosts: []};

	constructor(onPublished: () => void) {
		this.#onPublished = onPublished;
	}

	/** What callers of the list see now. */
	get published(): HostListing {
		return this.#published;
	}

	set(name: string, host: EntryHost): void {
		this.#hosts.set(name, host);
		this.#onChanged();
	}

	remove(name: string): void {
		this.#hosts.delete(name);
		this.#onChanged();
	}

	close(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		this.#timers.clear();
	}

	#onChanged(): void {
		this.#changes += 1;
		const listing: HostListing = {
			version: this.#changes,
			hosts: [...this.#hosts.values()],
		};
		if (this.lag === 0) {
			this.#set(listing);
			return;
		}

		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			this.#set(listing);
		}, this.lag);
		this.#timers.add(timer);
	}

	#set(listing: HostListing): void {
		// A shorter lag set in between lets a later change show first.
		if (listing.version <= this.#published.version) {
			return;
		}

		this.#published = listing;
		this.#onPublished();
	}
}
