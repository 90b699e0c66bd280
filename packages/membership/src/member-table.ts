import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Member, PeerIdentity} from '@parsleyvale/kernel';
import {
	livenessTimeout,
	firstContactTimeout,
	deadHostRetention,
} from './options.js';

/**
 * The state of an entry host, as known to this one.
 *
 * @internal
 */
export type MemberEntry = {
	host: EntryHost;
	counter: number;
	weight: number;
	/** Requests per second. */
	requestRate: number;
	isLeaving: boolean;
	isListed: boolean;
	/**
	 * Latest sign that the host is alive: a message from it, a gossiped update
	 * about it, or its addition to the table.
	 */
	lastAliveAt: Milliseconds;
	/** When the last message from the host itself arrived. */
	lastHeardAt: Milliseconds | undefined;
	/** Names of the monitors that reported the host as dead. */
	readonly reporters: Set<string>;
};

const never: Milliseconds = Number.NEGATIVE_INFINITY;

/** Time to process messages that were queued while this host was paused. */
const backlogTime: Milliseconds = 200;

/** Monitors that must report a host before it is considered dead. */
const requiredReporters = 2;

/**
 * All entry hosts known to this one, excluding itself.
 *
 * @internal
 */
export class MemberTable {
	readonly #self: EntryHost;
	readonly #entries = new Map<string, MemberEntry>();
	/** Whether the fleet is small enough for heartbeats from every host. */
	#isAllToAll = true;
	/** End of the last pause of this host; failure detection starts anew there. */
	#resumedAt: Milliseconds = never;

	constructor(self: EntryHost) {
		this.#self = self;
	}

	get size(): number {
		return this.#entries.size + 1;
	}

	get entries(): IterableIterator<MemberEntry> {
		return this.#entries.values();
	}

	setAllToAll(isAllToAll: boolean): void {
		this.#isAllToAll = isAllToAll;
	}

	findMember(name: string): MemberEntry | undefined {
		return this.#entries.get(name);
	}

	/** Resets failure detection after a pause of this host. */
	onResumed(now: Milliseconds): void {
		this.#resumedAt = now;
	}

	/** Applies the host list of the platform, which may be outdated. */
	onListed(hosts: readonly EntryHost[], now: Milliseconds): void {
		for (const entry of this.#entries.values()) {
			entry.isListed = false;
		}

		for (const host of hosts) {
			const entry = this.#addListed(host, now);
			if (entry !== undefined) {
				entry.isListed = true;
				entry.isLeaving ||= host.leaving;
			}
		}
	}

	/** Adds a host; a new incarnation replaces the old one. */
	add(host: EntryHost, now: Milliseconds): MemberEntry | undefined {
		if (host.name === this.#self.name) {
			return undefined;
		}

		const existing = this.#entries.get(host.name);
		if (existing?.host.incarnation === host.incarnation) {
			return existing;
		}

		const entry: MemberEntry = {
			host,
			counter: 0,
			weight: 1,
			requestRate: 0,
			isLeaving: host.leaving,
			isListed: existing?.isListed ?? false,
			lastAliveAt: now,
			lastHeardAt: undefined,
			reporters: new Set(),
		};
		this.#entries.set(host.name, entry);
		return entry;
	}

	onMessageFrom(
		from: PeerIdentity,
		now: Milliseconds,
	): MemberEntry | undefined {
		const entry = this.#entries.get(from.name);
		if (entry?.host.incarnation !== from.incarnation) {
			return undefined;
		}

		// Messages that were queued during a pause may be outdated.
		if (now - this.#resumedAt >= backlogTime) {
			entry.lastHeardAt = now;
			entry.lastAliveAt = now;
			entry.reporters.clear();
		}

		return entry;
	}

	/**
	 * A host is dead only once this host or its monitors have not heard from it for
	 * a time-out; failing to reach it is not enough.
	 */
	isLive(entry: MemberEntry, now: Milliseconds): boolean {
		if (entry.reporters.size >= requiredReporters) {
			return false;
		}

		if (!this.#isAllToAll && entry.reporters.size === 0) {
			return true;
		}

		const timeout =
			entry.lastHeardAt === undefined ? firstContactTimeout : livenessTimeout;
		const since = Math.max(entry.lastAliveAt, this.#resumedAt);
		return now - since <= timeout;
	}

	/**
	 * Whether look-up answers may contain the host. It must have been heard from
	 * recently: the longer time-out after a start or a pause does not apply.
	 */
	isUsable(entry: MemberEntry, now: Milliseconds): boolean {
		if (!this.#isAllToAll) {
			return this.isLive(entry, now);
		}

		return (
			entry.lastHeardAt !== undefined &&
			now - entry.lastHeardAt <= livenessTimeout
		);
	}

	listLive(now: Milliseconds): MemberEntry[] {
		return [...this.#entries.values()].filter((entry) =>
			this.isLive(entry, now),
		);
	}

	/** Removes dead hosts that the platform has ceased to list. */
	removeExpired(now: Milliseconds): void {
		for (const [name, entry] of this.#entries) {
			const isExpirable = !entry.isListed && !this.isLive(entry, now);
			if (isExpirable && now - entry.lastAliveAt > deadHostRetention) {
				this.#entries.delete(name);
			}
		}
	}

	/**
	 * The list may still contain the previous incarnation of a host, so it never
	 * replaces one that is live.
	 */
	#addListed(host: EntryHost, now: Milliseconds): MemberEntry | undefined {
		const existing = this.#entries.get(host.name);
		const isOtherIncarnation = existing?.host.incarnation !== host.incarnation;
		if (
			existing !== undefined &&
			isOtherIncarnation &&
			this.isLive(existing, now)
		) {
			return undefined;
		}

		return this.add(host, now);
	}
}

/** @internal */
export function toMember(entry: MemberEntry): Member {
	const {host, isLeaving, lastHeardAt} = entry;
	return {...host, leaving: isLeaving, lastHeardAt};
}
