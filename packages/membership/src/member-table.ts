import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Member, PeerIdentity} from '@parsleyvale/kernel';
import {deadAfter, firstContactGrace, forgetAfter} from './options.js';

/**
 * What is known of one entry host.
 *
 * @internal
 */
export type MemberEntry = {
	host: EntryHost;
	counter: number;
	weight: number;
	/** Requests a second. */
	load: number;
	isLeaving: boolean;
	isListed: boolean;
	/** When it was last heard of, from itself or through others. */
	freshAt: Milliseconds;
	heardAt: Milliseconds | undefined;
	/** Monitors that no longer hear it. */
	readonly reporters: Set<string>;
};

const never: Milliseconds = Number.NEGATIVE_INFINITY;

/** After a pause, messages that waited are taken within this time. */
const wakingTime: Milliseconds = 200;

/** So many monitors must agree that a host is dead. */
const reportersNeeded = 2;

/**
 * All entry hosts that this one knows, itself excluded.
 *
 * @internal
 */
export class MemberTable {
	readonly #self: EntryHost;
	readonly #entries = new Map<string, MemberEntry>();
	/** Whether every host is heard directly. */
	#isAllToAll = true;
	/** Silence before this moment is no evidence: this host was not awake. */
	#judgesSince: Milliseconds = never;

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

	/** This host slept: what it did not hear meanwhile says nothing. */
	onWoken(now: Milliseconds): void {
		this.#judgesSince = now;
	}

	/** Takes the platform's list, which lags. */
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

	/** Takes a host's own word; a new incarnation replaces the old one. */
	add(host: EntryHost, now: Milliseconds): MemberEntry | undefined {
		if (host.name === this.#self.name) {
			return undefined;
		}

		const known = this.#entries.get(host.name);
		if (known?.host.incarnation === host.incarnation) {
			return known;
		}

		const entry: MemberEntry = {
			host,
			counter: 0,
			weight: 1,
			load: 0,
			isLeaving: host.leaving,
			isListed: known?.isListed ?? false,
			freshAt: now,
			heardAt: undefined,
			reporters: new Set(),
		};
		this.#entries.set(host.name, entry);
		return entry;
	}

	onHeard(from: PeerIdentity, now: Milliseconds): MemberEntry | undefined {
		const entry = this.#entries.get(from.name);
		if (entry?.host.incarnation !== from.incarnation) {
			return undefined;
		}

		// What waited while this host slept may be old.
		if (now - this.#judgesSince >= wakingTime) {
			entry.heardAt = now;
			entry.freshAt = now;
			entry.reporters.clear();
		}

		return entry;
	}

	/** The host could not be reached; only silence makes it dead. */
	isLive(entry: MemberEntry, now: Milliseconds): boolean {
		if (entry.reporters.size >= reportersNeeded) {
			return false;
		}

		if (!this.#isAllToAll && entry.reporters.size === 0) {
			return true;
		}

		const patience =
			entry.heardAt === undefined ? firstContactGrace : deadAfter;
		const since = Math.max(entry.freshAt, this.#judgesSince);
		return now - since <= patience;
	}

	/**
	 * Whether callers may be sent to the host: the benefit of the doubt that a
	 * new or woken process gives is not passed on to them.
	 */
	isUsable(entry: MemberEntry, now: Milliseconds): boolean {
		if (!this.#isAllToAll) {
			return this.isLive(entry, now);
		}

		return entry.heardAt !== undefined && now - entry.heardAt <= deadAfter;
	}

	listLive(now: Milliseconds): MemberEntry[] {
		return [...this.#entries.values()].filter((entry) =>
			this.isLive(entry, now),
		);
	}

	/** Dead hosts that the platform no longer lists are gone for good. */
	clearForgotten(now: Milliseconds): void {
		for (const [name, entry] of this.#entries) {
			const isGone = !entry.isListed && !this.isLive(entry, now);
			if (isGone && now - entry.freshAt > forgetAfter) {
				this.#entries.delete(name);
			}
		}
	}

	/**
	 * The list lags: it may still name the process before the present one, so
	 * it never replaces a process that was heard itself.
	 */
	#addListed(host: EntryHost, now: Milliseconds): MemberEntry | undefined {
		const known = this.#entries.get(host.name);
		const isOther = known?.host.incarnation !== host.incarnation;
		if (known !== undefined && isOther && this.isLive(known, now)) {
			return undefined;
		}

		return this.add(host, now);
	}
}

/** @internal */
export function toMember(entry: MemberEntry): Member {
	const {host, isLeaving, heardAt} = entry;
	return {...host, leaving: isLeaving, heardAt};
}
