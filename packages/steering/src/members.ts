import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './messages/digest.js';
import type {SteeringHost} from './model.js';

/** A host that is not heard from for this long (three lost digests) does not count as live. */
const livenessTimeout: Milliseconds = 1.6 * second;
/** Lower bound of the liveness timeout per host of the fleet: larger fleets send digests less often. */
const livenessTimeoutPerHost: Milliseconds = 60;
/**
 * A silent host keeps its share of the rates for as long as its last configuration
 * may count as confirmed; after that, its share goes to the others.
 */
const shareReleaseTimeout: Milliseconds = 6 * second;
/** A host's entry in the store may be removed after this time without a digest. */
const entryRemovalTimeout: Milliseconds = 20 * second;

/** Look-ups name no host that is silent for longer, in a fleet of any size, unless nothing else is known. */
const lookUpTimeout: Milliseconds = 5 * second;

/** Fraction of the busiest host's request rate below which a host counts as idle; above 0, as health probes reach every host. */
const activeFraction = 0.05;

/** How long lists by liveness are reused: one tick. */
const livenessListLifetime: Milliseconds = 50;

type MutableMember = {
	host: SteeringHost;
	digest: Digest | undefined;
	/** Undefined: known only from the store, or not heard from since this process was suspended. */
	lastHeardAt: Milliseconds | undefined;
	readonly listedAt: Milliseconds;
};

/** Another host and its last digest. */
export type Member = Readonly<MutableMember>;

type LivenessLists = {
	readonly at: Milliseconds;
	readonly live: readonly Member[];
	readonly shareHolders: readonly Member[];
};

/** The other hosts of the fleet. */
export class Members {
	readonly #self: string;
	readonly #members = new Map<string, MutableMember>();
	#knownMembers: readonly Member[] | undefined;
	#livenessLists: LivenessLists | undefined;

	constructor(self: string) {
		this.#self = self;
	}

	/** Applies the store's list of hosts; hosts with recent digests are kept without an entry. */
	onListed(hosts: readonly SteeringHost[], now: Milliseconds): void {
		const listed = new Set(hosts.map(({name}) => name));
		for (const host of hosts) {
			const existing = this.#members.get(host.name);
			const isLive = existing && wasHeardWithin(existing, now, livenessTimeout);
			// The entry may be older than the host's own digest.
			const isNewEntry =
				!isLive && existing?.host.incarnation !== host.incarnation;
			if (host.name !== this.#self && isNewEntry) {
				this.#members.set(host.name, {
					host,
					digest: undefined,
					lastHeardAt: undefined,
					listedAt: now,
				});
				this.#clearLists();
			}
		}

		for (const [name, member] of this.#members) {
			if (
				!listed.has(name) &&
				!wasHeardWithin(member, now, shareReleaseTimeout)
			) {
				this.#members.delete(name);
				this.#clearLists();
			}
		}
	}

	/** Applies a digest; returns false if a newer one was already received. */
	onDigest(digest: Digest, now: Milliseconds): boolean {
		const existing = this.#members.get(digest.name);
		const isSameIncarnation =
			existing?.digest?.incarnation === digest.incarnation;
		const isStale =
			isSameIncarnation &&
			(existing?.digest?.sequence ?? -1) >= digest.sequence;
		if (isStale || digest.name === this.#self) {
			return false;
		}

		const wasLive = this.isLive(digest.name, now);
		const member: MutableMember = existing ?? {
			host: createHost(digest),
			digest: undefined,
			lastHeardAt: undefined,
			listedAt: now,
		};
		if (!isSameIncarnation) {
			member.host = createHost(digest);
		}

		member.digest = {
			...digest,
			...mergeCounts(isSameIncarnation ? existing?.digest : undefined, digest),
		};
		member.lastHeardAt = now;
		this.#members.set(digest.name, member);
		if (!wasLive) {
			this.#clearLists();
		}

		return true;
	}

	/** Whether this is the last digest applied for its host. */
	isNewest({name, incarnation, sequence}: Digest): boolean {
		const newest = this.#members.get(name)?.digest;
		return newest?.incarnation === incarnation && newest.sequence === sequence;
	}

	/** After a suspension of this process, no other host counts as live until it is heard from again. */
	onSuspended(): void {
		for (const member of this.#members.values()) {
			member.lastHeardAt = undefined;
		}

		this.#clearLists();
	}

	/** All hosts that may be running, as receivers of digests. */
	listKnown(): readonly Member[] {
		this.#knownMembers ??= [...this.#members.values()];
		return this.#knownMembers;
	}

	/** Whether the host was heard from within the liveness timeout. */
	isLive(name: string, now: Milliseconds): boolean {
		const member = this.#members.get(name);
		return (
			member !== undefined &&
			wasHeardWithin(member, now, this.#computeLivenessTimeout())
		);
	}

	/** Whether the host is live and this incarnation of it was heard from last. */
	isLiveIncarnation(
		{name, incarnation}: Pick<Digest, 'name' | 'incarnation'>,
		now: Milliseconds,
	): boolean {
		const {digest} = this.#members.get(name) ?? {};
		return digest?.incarnation === incarnation && this.isLive(name, now);
	}

	/** Hosts heard from within the liveness timeout. */
	listLive(now: Milliseconds): readonly Member[] {
		return this.#getLivenessLists(now).live;
	}

	/** Live hosts that callers may be directed to: those heard from recently, or all if none was. */
	listNameable(now: Milliseconds): readonly Member[] {
		const ready = this.listLive(now).filter(
			({digest}) => digest?.isReady === true,
		);
		const recent = ready.filter((member) =>
			wasHeardWithin(member, now, lookUpTimeout),
		);
		return recent.length > 0 ? recent : ready;
	}

	/**
	 * Requests per second from which a host counts as active: a small fraction of
	 * the busiest host's, where `ownRate` is that of this host.
	 */
	computeActiveRate(ownRate: number): number {
		let maximumRate = ownRate;
		for (const {digest} of this.#members.values()) {
			maximumRate = Math.max(maximumRate, digest?.requestsPerSecond ?? 0);
		}

		return maximumRate * activeFraction;
	}

	/** Hosts that count as active by their last digests. */
	listActive(ownRate: number): readonly Member[] {
		const minimumRate = this.computeActiveRate(ownRate);
		return this.listKnown().filter(({digest}) => {
			const rate = digest?.requestsPerSecond ?? 0;
			return rate > 0 && rate >= minimumRate;
		});
	}

	/** Hosts that may still use a share of the rates. */
	listShareHolders(now: Milliseconds): readonly Member[] {
		return this.#getLivenessLists(now).shareHolders;
	}

	/** Names of hosts whose entries in the store may be removed. */
	listExpired(now: Milliseconds): readonly string[] {
		return this.listKnown()
			.filter(
				(member) =>
					!wasHeardWithin(member, now, entryRemovalTimeout) &&
					now - member.listedAt > entryRemovalTimeout,
			)
			.map(({host}) => host.name);
	}

	#getLivenessLists(now: Milliseconds): LivenessLists {
		const lists = this.#livenessLists;
		if (lists !== undefined && now - lists.at < livenessListLifetime) {
			return lists;
		}

		const timeout = this.#computeLivenessTimeout();
		const known = this.listKnown();
		this.#livenessLists = {
			at: now,
			live: known.filter((member) => wasHeardWithin(member, now, timeout)),
			shareHolders: known.filter(
				(member) =>
					wasHeardWithin(member, now, shareReleaseTimeout) ||
					(member.lastHeardAt === undefined &&
						now - member.listedAt < shareReleaseTimeout),
			),
		};
		return this.#livenessLists;
	}

	/** Discards the cached lists when hosts join, leave or become live. */
	#clearLists(): void {
		this.#knownMembers = undefined;
		this.#livenessLists = undefined;
	}

	#computeLivenessTimeout(): Milliseconds {
		return Math.max(
			livenessTimeout,
			livenessTimeoutPerHost * this.#members.size,
		);
	}
}

function wasHeardWithin(
	{lastHeardAt}: Member,
	now: Milliseconds,
	timeout: Milliseconds,
): boolean {
	return lastHeardAt !== undefined && now - lastHeardAt <= timeout;
}

/** A short digest omits the counts of the last full one, a partial one most of them. */
function mergeCounts(
	previous: Digest | undefined,
	{customers, servers, areCountsPartial}: Digest,
): Pick<Digest, 'customers' | 'servers'> {
	return areCountsPartial === true
		? {
				customers: {...previous?.customers, ...customers},
				servers: {...previous?.servers, ...servers},
			}
		: {
				customers: customers ?? previous?.customers,
				servers: servers ?? previous?.servers,
			};
}

function createHost(digest: Digest): SteeringHost {
	return {
		name: digest.name,
		incarnation: digest.incarnation,
		region: digest.region,
		failureDomain: digest.failureDomain,
		callers: digest.callers,
		capacity: digest.capacity,
		peerAddress: digest.address,
		peerPort: digest.port,
	};
}
