import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
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

/** Fraction of the busiest host's request rate below which a host counts as idle; above 0, as health probes reach every host. */
const activeFraction = 0.05;

/** Another host and its last digest. */
export type Member = {
	readonly host: SteeringHost;
	readonly digest: Digest | undefined;
	/** Undefined: known only from the store, or not heard from since this process was suspended. */
	readonly lastHeardAt: Milliseconds | undefined;
	readonly listedAt: Milliseconds;
};

/** The other hosts of the fleet. */
export class Members {
	readonly #self: string;
	readonly #members = new Map<string, Member>();

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
			}
		}

		for (const [name, member] of this.#members) {
			if (
				!listed.has(name) &&
				!wasHeardWithin(member, now, shareReleaseTimeout)
			) {
				this.#members.delete(name);
			}
		}
	}

	/** Applies a digest; returns false if a newer one was already received. */
	onDigest(digest: Digest, now: Milliseconds): boolean {
		const existing = this.#members.get(digest.name);
		const isSameIncarnation =
			existing?.digest?.incarnation === digest.incarnation;
		const isStale =
			isSameIncarnation && existing.digest.sequence >= digest.sequence;
		if (isStale || digest.name === this.#self) {
			return false;
		}

		this.#members.set(digest.name, {
			host: createHost(digest),
			// A short digest omits the customers of the last full one.
			digest: {
				...digest,
				customers:
					digest.customers ??
					(isSameIncarnation ? existing.digest.customers : undefined),
			},
			lastHeardAt: now,
			listedAt: existing?.listedAt ?? now,
		});
		return true;
	}

	/** Whether this is the last digest applied for its host. */
	isNewest({name, incarnation, sequence}: Digest): boolean {
		const newest = this.#members.get(name)?.digest;
		return newest?.incarnation === incarnation && newest.sequence === sequence;
	}

	/** After a suspension of this process, no other host counts as live until it is heard from again. */
	onSuspended(): void {
		for (const [name, member] of this.#members) {
			this.#members.set(name, {...member, lastHeardAt: undefined});
		}
	}

	/** All hosts that may be running, as receivers of digests. */
	listKnown(): readonly Member[] {
		return [...this.#members.values()];
	}

	/** Hosts heard from within the liveness timeout. */
	listLive(now: Milliseconds): readonly Member[] {
		const timeout = this.#computeLivenessTimeout();
		return this.listKnown().filter((member) =>
			wasHeardWithin(member, now, timeout),
		);
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

	/** Names of hosts that are not live. */
	listSilent(now: Milliseconds): readonly string[] {
		const timeout = this.#computeLivenessTimeout();
		return this.listKnown()
			.filter((member) => !wasHeardWithin(member, now, timeout))
			.map(({host}) => host.name);
	}

	/** Hosts that may still use a share of the rates. */
	listShareHolders(now: Milliseconds): readonly Member[] {
		return this.listKnown().filter(
			(member) =>
				wasHeardWithin(member, now, shareReleaseTimeout) ||
				(member.lastHeardAt === undefined &&
					now - member.listedAt < shareReleaseTimeout),
		);
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
