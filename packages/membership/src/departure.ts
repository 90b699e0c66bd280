import type {Milliseconds} from '@parsleyvale/shared';
import type {Context} from '@parsleyvale/kernel';
import type {MemberTable} from './member-table.js';
import {topics} from './messages.js';
import {allToAllLimit, deadAfter} from './options.js';

const repeatInterval: Milliseconds = 200;

/**
 * A planned stop: tells every peer, and counts the lifetime of look-up answers
 * from the moment when the last one has noted it.
 *
 * @internal
 */
export class Departure {
	readonly #table: MemberTable;
	readonly #lookUpLifetime: Milliseconds;
	readonly #noted = new Set<string>();
	#startedAt: Milliseconds | undefined;
	#notedAt: Milliseconds | undefined;
	#sentAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(table: MemberTable, lookUpLifetime: Milliseconds) {
		this.#table = table;
		this.#lookUpLifetime = lookUpLifetime;
	}

	start(context: Context): void {
		this.#startedAt ??= context.now;
		this.onTick(context);
	}

	onNoted(name: string): void {
		this.#noted.add(name);
	}

	onTick(context: Context): void {
		if (this.#startedAt === undefined || this.#notedAt !== undefined) {
			return;
		}

		const missing = this.#listMissing(context.now);
		const waited = context.now - this.#startedAt;
		// A peer that cannot be told takes this host for dead soon after.
		if (missing.length === 0 || waited > deadAfter) {
			this.#notedAt = context.now;
			return;
		}

		if (context.now - this.#sentAt >= repeatInterval) {
			this.#sentAt = context.now;
			for (const to of missing) {
				const topic = topics.leaving;
				context.emit({type: 'send-peer', to, topic, payload: {}});
			}
		}
	}

	/** Whether callers may still hold an answer that names this host. */
	isBusy(now: Milliseconds): boolean {
		return (
			this.#startedAt === undefined ||
			this.#notedAt === undefined ||
			now - this.#notedAt <= this.#lookUpLifetime
		);
	}

	/** A large fleet learns it by gossip, which the waiting time covers. */
	#listMissing(now: Milliseconds): string[] {
		const live = this.#table.listLive(now).map(({host}) => host.name);
		const missing = live.filter((name) => !this.#noted.has(name));
		return missing.slice(0, allToAllLimit);
	}
}
