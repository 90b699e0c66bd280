import type {Milliseconds} from '@parsleyvale/shared';
import type {Context} from '@parsleyvale/kernel';
import type {MemberTable} from './member-table.js';
import {topics} from './messages.js';
import {allToAllLimit, livenessTimeout} from './options.js';

/** Interval between announcements to a peer that has not acknowledged one. */
const leavingResendInterval: Milliseconds = 200;

/**
 * Announces a graceful stop to all peers. The host stays busy until every peer
 * has acknowledged it and look-up answers given before that have expired.
 *
 * @internal
 */
export class GracefulLeave {
	readonly #table: MemberTable;
	readonly #lookUpLifetime: Milliseconds;
	readonly #acknowledged = new Set<string>();
	#startedAt: Milliseconds | undefined;
	#acknowledgedAt: Milliseconds | undefined;
	#sentAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(table: MemberTable, lookUpLifetime: Milliseconds) {
		this.#table = table;
		this.#lookUpLifetime = lookUpLifetime;
	}

	start(context: Context): void {
		this.#startedAt ??= context.now;
		this.onTick(context);
	}

	onAcknowledged(name: string): void {
		this.#acknowledged.add(name);
	}

	onTick(context: Context): void {
		if (this.#startedAt === undefined || this.#acknowledgedAt !== undefined) {
			return;
		}

		const unacknowledged = this.#listUnacknowledged(context.now);
		const elapsed = context.now - this.#startedAt;
		// An unreachable peer considers this host dead within the same time.
		if (unacknowledged.length === 0 || elapsed > livenessTimeout) {
			this.#acknowledgedAt = context.now;
			return;
		}

		if (context.now - this.#sentAt >= leavingResendInterval) {
			this.#sentAt = context.now;
			for (const to of unacknowledged) {
				const topic = topics.leaving;
				context.emit({type: 'send-peer', to, topic, payload: {}});
			}
		}
	}

	/** Whether callers may still hold a look-up answer with this host. */
	isBusy(now: Milliseconds): boolean {
		return (
			this.#startedAt === undefined ||
			this.#acknowledgedAt === undefined ||
			now - this.#acknowledgedAt <= this.#lookUpLifetime
		);
	}

	/**
	 * Peers to notify, at most `allToAllLimit` at once: in a larger fleet, gossip
	 * reaches the others while this host waits.
	 */
	#listUnacknowledged(now: Milliseconds): string[] {
		const live = this.#table.listLive(now).map(({host}) => host.name);
		const unacknowledged = live.filter((name) => !this.#acknowledged.has(name));
		return unacknowledged.slice(0, allToAllLimit);
	}
}
