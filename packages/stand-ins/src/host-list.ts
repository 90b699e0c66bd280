import type {EntryHost, Milliseconds} from '@parsleyvale/shared';

export type HostListing = {
	readonly version: number;
	readonly hosts: readonly EntryHost[];
};

/** The platform's list of entry hosts, which publishes changes after a delay. */
export class HostList {
	/** Time between a change and its publication. */
	lag: Milliseconds = 0;

	readonly #hosts = new Map<string, EntryHost>();
	readonly #timers = new Set<NodeJS.Timeout>();
	readonly #onPublished: () => void;
	#latestVersion = 0;
	#published: HostListing = {version: 0, hosts: []};

	constructor(onPublished: () => void) {
		this.#onPublished = onPublished;
	}

	/** The list as clients currently see it. */
	get published(): HostListing {
		return this.#published;
	}

	set(name: string, host: EntryHost): void {
		this.#hosts.set(name, host);
		this.#publishAfterLag();
	}

	remove(name: string): void {
		this.#hosts.delete(name);
		this.#publishAfterLag();
	}

	close(): void {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		this.#timers.clear();
	}

	#publishAfterLag(): void {
		this.#latestVersion += 1;
		const listing: HostListing = {
			version: this.#latestVersion,
			hosts: [...this.#hosts.values()],
		};
		if (this.lag === 0) {
			this.#publish(listing);
			return;
		}

		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			this.#publish(listing);
		}, this.lag);
		this.#timers.add(timer);
	}

	#publish(listing: HostListing): void {
		// After the lag was shortened, a later change may be published first.
		if (listing.version <= this.#published.version) {
			return;
		}

		this.#published = listing;
		this.#onPublished();
	}
}
