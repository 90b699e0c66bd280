import type {Milliseconds} from '@parsleyvale/shared';
import type {Roster} from './roster.js';
import type {Rules} from './options.js';

const never: Milliseconds = Number.NEGATIVE_INFINITY;

/**
 * Until when this host knows which keys are withdrawn. It knows all that the
 * store held at `storeAsOf`, and all that a majority of hosts knew at the
 * moment that the votes give. Every moment is on this host's own clock: the
 * sending of the request whose answer brought the word. See
 * docs/design/keys.md.
 *
 * @internal
 */
export class KeyFreshness {
	readonly #rules: Rules;
	readonly #roster: Roster;
	readonly #vouchedAt = new Map<string, Milliseconds>();
	#startedAt: Milliseconds | undefined;
	#storeAsOf: Milliseconds = never;
	#synced = false;

	constructor(rules: Rules, roster: Roster) {
		this.#rules = rules;
		this.#roster = roster;
	}

	/**
	 * Whether this process has learnt, since its start, all that was known
	 * before its start. Only then can it vouch to others (a host keeps nothing
	 * over a restart).
	 */
	get isSynced(): boolean {
		return this.#synced || !this.#rules.safeguards.syncedVouchers;
	}

	start(now: Milliseconds): void {
		this.#startedAt ??= now;
	}

	/** The store's withdrawals as of `moment` are known here. */
	onStoreKnown(moment: Milliseconds): void {
		this.#storeAsOf = Math.max(this.#storeAsOf, moment);
		if (moment >= (this.#startedAt ?? Number.POSITIVE_INFINITY)) {
			this.#synced = true;
		}
	}

	/** A synced peer told all that it knew at `moment` or later. */
	onVouched(peer: string, moment: Milliseconds): void {
		const before = this.#vouchedAt.get(peer) ?? never;
		this.#vouchedAt.set(peer, Math.max(before, moment));
		if (!this.#synced && this.#getMajorityAsOf() !== never) {
			this.#synced = true;
		}
	}

	/** How old this host's word of the store is, passed on to others. */
	getStoreAge(now: Milliseconds): Milliseconds | undefined {
		return this.#storeAsOf === never ? undefined : now - this.#storeAsOf;
	}

	/** Judged at the very moment of use, so that a freeze ends the right. */
	isFresh(now: Milliseconds): boolean {
		if (!this.#rules.safeguards.freshness) {
			return true;
		}

		const oldest = now - this.#rules.freshness;
		return this.#storeAsOf >= oldest || this.#getMajorityAsOf() >= oldest;
	}

	/** The latest moment at which a majority of hosts vouched. */
	#getMajorityAsOf(): Milliseconds {
		// A host that knows no other may just not have been told of them.
		if (this.#roster.size === 1) {
			return never;
		}

		const own = this.isSynced ? 1 : 0;
		const needed = this.#roster.majority - own;
		const moments = [...this.#vouchedAt]
			.filter(([peer]) => this.#roster.has(peer))
			.map(([, moment]) => moment)
			.sort((a, b) => b - a);
		return moments[needed - 1] ?? never;
	}
}
