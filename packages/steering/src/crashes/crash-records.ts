import {minute, second, type Milliseconds} from '@parsleyvale/shared';

/** Servers that must have crashed under a request before it is blocked. */
const blockingCrashes = 3;
/** For how long a request is blocked after its last crash. */
const firstBlockDuration: Milliseconds = 30 * second;
/** Factor by which the next block is longer, if the request crashes a server again after one. */
const blockGrowth = 4;
const maximumBlockDuration: Milliseconds = 10 * minute;
/** Requests that were on their way when it was blocked crash servers within this time; a later crash comes from another try. */
const inFlightDuration: Milliseconds = 10 * second;
/** How long a request with fewer crashes is remembered after the last one. */
const suspicionDuration: Milliseconds = minute;
const maximumSuspects = 512;
const maximumCrashes = 16;

/** A server, by the hash of its id and incarnation, that crashed while it had a request. */
export type Crash = {
	readonly server: number;
	readonly at: Milliseconds;
	/** Whether this host lost the connection itself. */
	readonly isOwn: boolean;
};

/** A request that was at servers when they crashed. */
export class Suspect {
	readonly #crashes = new Map<number, Crash>();
	#lastCrashAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(readonly identity: string) {}

	/** Its crashes, the earliest first. */
	get crashes(): readonly Crash[] {
		return [...this.#crashes.values()].sort((a, b) => a.at - b.at);
	}

	get crashCount(): number {
		return this.#crashes.size;
	}

	get lastCrashAt(): Milliseconds {
		return this.#lastCrashAt;
	}

	/** End of the block; in the past if it has fewer crashes than lead to one. */
	get blockedUntil(): Milliseconds {
		return this.crashCount < blockingCrashes
			? Number.NEGATIVE_INFINITY
			: this.#lastCrashAt + this.#blockDuration;
	}

	/** When it is forgotten unless there is another crash. */
	get forgottenAt(): Milliseconds {
		return this.crashCount < blockingCrashes
			? this.#lastCrashAt + suspicionDuration
			: this.#lastCrashAt + 2 * this.#blockDuration;
	}

	/** Returns false for a crash that is already known. */
	add(crash: Crash): boolean {
		if (this.#crashes.has(crash.server)) {
			return false;
		}

		this.#crashes.set(crash.server, crash);
		this.#lastCrashAt = Math.max(this.#lastCrashAt, crash.at);
		if (this.#crashes.size > maximumCrashes) {
			// The first ones decide about the length of the block.
			this.#crashes.delete(this.crashes[blockingCrashes]!.server);
		}

		return true;
	}

	/** Takes back the crashes for which the condition holds. */
	removeWhere(condition: (crash: Crash) => boolean): void {
		for (const crash of this.crashes.filter((each) => condition(each))) {
			this.#crashes.delete(crash.server);
		}

		this.#lastCrashAt = this.crashes.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
	}

	get #blockDuration(): Milliseconds {
		const {crashes} = this;
		const blockedAt = crashes[blockingCrashes - 1]?.at ?? 0;
		const repeats = crashes.filter(
			({at}) => at > blockedAt + inFlightDuration,
		).length;
		return Math.min(
			maximumBlockDuration,
			firstBlockDuration * blockGrowth ** repeats,
		);
	}
}

/** The requests that were at servers when these crashed, bounded in number. */
export class CrashRecords {
	readonly #suspects = new Map<string, Suspect>();
	#culprits: ReadonlyMap<string, Suspect> | undefined;

	get size(): number {
		return this.#suspects.size;
	}

	/** Suspects that explain at least three crashes. */
	get culprits(): ReadonlyMap<string, Suspect> {
		this.#culprits ??= findCulprits([...this.#suspects.values()]);
		return this.#culprits;
	}

	findSuspect(identity: string): Suspect | undefined {
		return this.#suspects.get(identity);
	}

	/** The suspects, those with the most crashes first, and among them those with the latest. */
	listBySuspicion(): readonly Suspect[] {
		return [...this.#suspects.values()].sort(
			(a, b) => b.crashCount - a.crashCount || b.lastCrashAt - a.lastCrashAt,
		);
	}

	add(identity: string, crash: Crash, now: Milliseconds): void {
		const suspect = this.#suspects.get(identity) ?? new Suspect(identity);
		if (!suspect.add(crash) || suspect.forgottenAt <= now) {
			return;
		}

		// The least recently used one comes first.
		this.#suspects.delete(identity);
		this.#suspects.set(identity, suspect);
		this.#culprits = undefined;
		if (this.#suspects.size > maximumSuspects) {
			this.#evict();
		}
	}

	/** Takes back the crashes of one suspect, or of all, for which the condition holds. */
	removeWhere(condition: (crash: Crash) => boolean, identity?: string): void {
		for (const suspect of this.#suspects.values()) {
			if (identity === undefined || identity === suspect.identity) {
				suspect.removeWhere(condition);
				if (suspect.crashCount === 0) {
					this.#suspects.delete(suspect.identity);
				}
			}
		}

		this.#culprits = undefined;
	}

	removeForgotten(now: Milliseconds): void {
		for (const {identity, forgottenAt} of this.#suspects.values()) {
			if (forgottenAt <= now) {
				this.#suspects.delete(identity);
				this.#culprits = undefined;
			}
		}
	}

	/** Removes the least recent suspect that is not blocked, so that many single crashes do not make a blocked one forgotten. */
	#evict(): void {
		for (const {identity, crashCount} of this.#suspects.values()) {
			if (crashCount < blockingCrashes) {
				this.#suspects.delete(identity);
				return;
			}
		}

		const [oldest] = this.#suspects.keys();
		this.#suspects.delete(oldest!);
	}
}

/**
 * Finds the requests that explain the crashes. One that was at a server beside a
 * culprit is not suspected for that server's crash, so a request is blocked only for
 * crashes that no request with more of them explains.
 */
function findCulprits(suspects: Suspect[]): ReadonlyMap<string, Suspect> {
	const culprits = new Map<string, Suspect>();
	const explained = new Set<number>();
	const candidates = suspects
		.filter(({crashCount}) => crashCount >= blockingCrashes)
		.sort(compareSuspects);
	for (const suspect of candidates) {
		const unexplained = suspect.crashes.filter(
			({server}) => !explained.has(server),
		);
		if (unexplained.length >= blockingCrashes) {
			culprits.set(suspect.identity, suspect);
			for (const {server} of suspect.crashes) {
				explained.add(server);
			}
		}
	}

	return culprits;
}

/** Orders suspects by their crashes, and equal ones in the same way on all hosts. */
function compareSuspects(a: Suspect, b: Suspect): number {
	return b.crashCount - a.crashCount || (a.identity < b.identity ? -1 : 1);
}
