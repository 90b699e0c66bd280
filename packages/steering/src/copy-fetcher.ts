import type {Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './messages/digest.js';
import type {HostState} from './host-state.js';
import type {Member} from './members.js';
import {comparePositions, formatPosition} from './store-position.js';

/** Minimum interval between two fetches from other hosts; a fetch takes two round trips. */
const fetchInterval: Milliseconds = 150;
/** Fetch interval of an idle host: short enough to see a server leave within two seconds. */
const idleFetchInterval: Milliseconds = 700;
/** Interval after which an idle host tries another source, if the last fetch has brought nothing new. */
const retryInterval: Milliseconds = 300;

/**
 * Decides when this host fetches a copy of newer configuration or server lists,
 * and from which host. A source may be partitioned or suspended while it still
 * counts as live, so the next attempt goes to another one.
 */
export class CopyFetcher {
	readonly #hostState: HostState;
	#lastFetchAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Data that this host had at the last fetch. */
	#lastState = '';
	#lastSource: string | undefined;
	/** Whether a host with newer data has been heard from since the last check. */
	#mayBeBehind = false;

	constructor(hostState: HostState) {
		this.#hostState = hostState;
	}

	onDigest(digest: Digest): void {
		this.#mayBeBehind ||= this.#isNewer(digest);
	}

	/** Returns the host to fetch from now, if any. */
	chooseSource(now: Milliseconds): Member | undefined {
		if (
			!this.#mayBeBehind ||
			now - this.#lastFetchAt < this.#getInterval(now)
		) {
			return undefined;
		}

		const source = this.#findSource(now);
		this.#mayBeBehind = source !== undefined;
		if (source !== undefined) {
			this.#lastFetchAt = now;
			this.#lastState = this.#formatState();
			this.#lastSource = source.host.name;
		}

		return source;
	}

	#getInterval(now: Milliseconds): Milliseconds {
		if (this.#hostState.isActive(now) || !this.#hostState.isReady) {
			return fetchInterval;
		}

		return this.#formatState() === this.#lastState
			? retryInterval
			: idleFetchInterval;
	}

	/** Prefers nearby sources, to save traffic on links, and any to the one that was tried last. */
	#findSource(now: Milliseconds): Member | undefined {
		const {members, settings} = this.#hostState;
		const {region, failureDomain} = settings.self;
		const newer = members
			.listLive(now)
			.filter(({digest}) => digest !== undefined && this.#isNewer(digest));
		const others = newer.filter(({host}) => host.name !== this.#lastSource);
		const candidates = others.length > 0 ? others : newer;
		const inDomain = candidates.filter(
			({host}) => host.failureDomain === failureDomain,
		);
		const inRegion = candidates.filter(({host}) => host.region === region);
		const sources =
			[inDomain, inRegion].find((found) => found.length > 0) ?? candidates;
		return sources[Math.floor(settings.random() * sources.length)];
	}

	/** Whether the other host has newer data from the store. */
	#isNewer(digest: Digest): boolean {
		const {configuration, serverTable} = this.#hostState;
		return (
			digest.configurationVersion > configuration.version ||
			comparePositions(digest.fleetPosition, serverTable.position) > 0 ||
			comparePositions(
				digest.evacuationsPosition,
				serverTable.evacuationsPosition,
			) > 0
		);
	}

	#formatState(): string {
		const {configuration, serverTable} = this.#hostState;
		return [
			configuration.version,
			formatPosition(serverTable.position),
			formatPosition(serverTable.evacuationsPosition),
		].join(' ');
	}
}
