import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
import type {SteeringHost} from './model.js';

/** A host not heard for this long is not named to callers: three digests lost. */
const silenceOfLeft: Milliseconds = 1.6 * second;
/** In larger fleets digests come less often: so much longer for each host. */
const silenceForEachHost: Milliseconds = 60;
/**
 * A silent host may go on with its share of the rates for as long as it may
 * take its keys to be fresh; its share is given to others after that.
 */
const silenceOfReleased: Milliseconds = 6 * second;
/** An entry in the store whose host was silent for so long may be removed. */
const silenceOfGone: Milliseconds = 20 * second;

/** A host with less than this part of the busiest host's requests counts as idle: probes reach all hosts. */
const partOfBusiest = 0.05;

/** Another host, and what it last said. */
export type Member = {
	readonly host: SteeringHost;
	readonly digest: Digest | undefined;
	/** Undefined: known from the store alone. */
	readonly heardAt: Milliseconds | undefined;
	readonly listedAt: Milliseconds;
};

/** The other hosts of the fleet. */
export class Members {
	readonly #self: string;
	readonly #members = new Map<string, Member>();

	constructor(self: string) {
		this.#self = self;
	}

	/** Hosts as the store lists them; those heard are known without it. */
	onListed(hosts: readonly SteeringHost[], now: Milliseconds): void {
		const listed = new Set(hosts.map(({name}) => name));
		for (const host of hosts) {
			const known = this.#members.get(host.name);
			const isHeardOf = known && isHeard(known, now, silenceOfLeft);
			// An entry may be older than what the host said itself.
			const isUnknown =
				!isHeardOf && known?.host.incarnation !== host.incarnation;
			if (host.name !== this.#self && isUnknown) {
				this.#members.set(host.name, {
					host,
					digest: undefined,
					heardAt: undefined,
					listedAt: now,
				});
			}
		}

		for (const [name, member] of this.#members) {
			if (!listed.has(name) && !isHeard(member, now, silenceOfReleased)) {
				this.#members.delete(name);
			}
		}
	}

	/** Takes a digest; false when a newer one was there. */
	onDigest(digest: Digest, now: Milliseconds): boolean {
		const known = this.#members.get(digest.name);
		const isSameStart = known?.digest?.incarnation === digest.incarnation;
		const isOld = isSameStart && known.digest.sequence >= digest.sequence;
		if (isOld || digest.name === this.#self) {
			return false;
		}

		this.#members.set(digest.name, {
			host: toHost(digest),
			// A short digest leaves out what the last whole one said.
			digest: {
				...digest,
				customers:
					digest.customers ??
					(isSameStart ? known.digest.customers : undefined),
			},
			heardAt: now,
			listedAt: known?.listedAt ?? now,
		});
		return true;
	}

	/** Whether it is the last digest that was taken of its host. */
	isNewest({name, incarnation, sequence}: Digest): boolean {
		const newest = this.#members.get(name)?.digest;
		return newest?.incarnation === incarnation && newest.sequence === sequence;
	}

	/** Nothing is known of others after this process stood still. */
	onSuspended(): void {
		for (const [name, member] of this.#members) {
			this.#members.set(name, {...member, heardAt: undefined});
		}
	}

	/** All that may be there, to be told of this host. */
	listKnown(): readonly Member[] {
		return [...this.#members.values()];
	}

	/** Hosts heard of late. */
	listLive(now: Milliseconds): readonly Member[] {
		const silence = this.#computeSilence();
		return this.listKnown().filter((member) => isHeard(member, now, silence));
	}

	/**
	 * Requests a second from which a host counts as having a part of the load:
	 * a small part of what the busiest has, of which `own` may be one.
	 */
	computeActiveRate(own: number): number {
		let most = own;
		for (const {digest} of this.#members.values()) {
			most = Math.max(most, digest?.requestsPerSecond ?? 0);
		}

		return most * partOfBusiest;
	}

	/** Hosts that have a part of the load, as they last said. */
	listActive(own: number): readonly Member[] {
		const least = this.computeActiveRate(own);
		return this.listKnown().filter(({digest}) => {
			const rate = digest?.requestsPerSecond ?? 0;
			return rate > 0 && rate >= least;
		});
	}

	/** Names of hosts that are not heard any more. */
	listSilent(now: Milliseconds): readonly string[] {
		const silence = this.#computeSilence();
		return this.listKnown()
			.filter((member) => !isHeard(member, now, silence))
			.map(({host}) => host.name);
	}

	/** Hosts that may hold a share of the rates. */
	listHolders(now: Milliseconds): readonly Member[] {
		return this.listKnown().filter(
			(member) =>
				isHeard(member, now, silenceOfReleased) ||
				(member.heardAt === undefined &&
					now - member.listedAt < silenceOfReleased),
		);
	}

	/** Names of entries in the store that no host answers for. */
	listGone(now: Milliseconds): readonly string[] {
		return this.listKnown()
			.filter(
				(member) =>
					!isHeard(member, now, silenceOfGone) &&
					now - member.listedAt > silenceOfGone,
			)
			.map(({host}) => host.name);
	}

	#computeSilence(): Milliseconds {
		return Math.max(silenceOfLeft, silenceForEachHost * this.#members.size);
	}
}

function isHeard(
	{heardAt}: Member,
	now: Milliseconds,
	silence: Milliseconds,
): boolean {
	return heardAt !== undefined && now - heardAt <= silence;
}

function toHost(digest: Digest): SteeringHost {
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
