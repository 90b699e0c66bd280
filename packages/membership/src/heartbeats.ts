import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Context, PeerIdentity} from '@parsleyvale/kernel';
import type {LoadWeight} from './load-weight.js';
import type {MemberEntry, MemberTable} from './member-table.js';
import {topics, type Heartbeat, type Update} from './messages.js';
import {
	allToAllLimit,
	gossipPerInterval,
	heartbeatInterval,
	reportAfter,
	ringHeartbeatInterval,
	monitorsPerHost,
} from './options.js';
import {Ring} from './ring.js';
import {UpdateQueue} from './update-queue.js';

const updatesPerMessage = 6;

/** Every so many heartbeats, and those to strangers, carry the addresses. */
const introductionEvery = 10;

type Parts = {
	readonly self: EntryHost;
	readonly random: () => number;
	readonly table: MemberTable;
	readonly load: LoadWeight;
};

/**
 * Heartbeats: to every host in a small fleet; in a large one to the host's
 * monitors on a ring, and news of changes to a few at random.
 *
 * @internal
 */
export class Heartbeats {
	readonly #parts: Parts;
	readonly #ring = new Ring();
	readonly #updates = new UpdateQueue();
	#counter = 0;
	#sentCount = 0;
	#sentAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#monitorsSince: Milliseconds | undefined;
	#isLeaving = false;
	#toldWeight = 1;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	get #isAllToAll(): boolean {
		return this.#parts.table.size <= allToAllLimit;
	}

	/** Tells all, at the next tick, that this host is stopping. */
	stop(): void {
		this.#isLeaving = true;
		this.#sentAt = Number.NEGATIVE_INFINITY;
		this.#addOwnUpdate();
	}

	onTick(context: Context): void {
		const interval = this.#isAllToAll
			? heartbeatInterval
			: ringHeartbeatInterval;
		if (context.now - this.#sentAt < interval) {
			return;
		}

		this.#sentAt = context.now;
		const {table, self} = this.#parts;
		table.setAllToAll(this.#isAllToAll);
		this.#ring.set([
			self.name,
			...table.listLive(context.now).map(({host}) => host.name),
		]);
		this.#checkWatched(context.now);
		this.#addOwnWeight();
		for (const to of this.#listTargets(context.now)) {
			this.#send(to, context);
		}

		this.#sentCount++;
	}

	onHeartbeat(
		from: PeerIdentity,
		heartbeat: Heartbeat,
		now: Milliseconds,
	): void {
		const {table} = this.#parts;
		const isOwnWord = heartbeat.host?.name === from.name;
		if (heartbeat.host !== undefined && isOwnWord) {
			this.#addHost(heartbeat.host, now);
		}

		const entry = table.onHeard(from, now);
		if (entry !== undefined) {
			entry.counter = Math.max(entry.counter, heartbeat.counter);
			entry.isLeaving ||= heartbeat.leaving;
			entry.weight = heartbeat.weight;
			entry.load = heartbeat.load;
		}

		for (const update of heartbeat.updates) {
			this.#onUpdate(update, now);
		}
	}

	#addHost(host: EntryHost, now: Milliseconds): void {
		const {table} = this.#parts;
		const known = table.findMember(host.name);
		const entry = table.add(host, now);
		if (entry !== undefined && entry !== known && !this.#isAllToAll) {
			this.#updates.add(this.#toUpdate(entry, 'live'));
		}
	}

	#onUpdate(update: Update, now: Milliseconds): void {
		const {self, table} = this.#parts;
		if (update.name === self.name) {
			this.#addRefutation(update);
			return;
		}

		const before = table.findMember(update.name);
		if (update.host !== undefined && this.#isNewer(before, update)) {
			table.add(update.host, now);
		}

		const entry = table.findMember(update.name);
		if (
			entry?.host.incarnation === update.incarnation &&
			this.#applyUpdate(entry, update, now)
		) {
			this.#updates.add(update);
		}
	}

	#isNewer(before: MemberEntry | undefined, update: Update): boolean {
		const isKnown = before?.host.incarnation === update.incarnation;
		return !isKnown && update.status === 'live';
	}

	/** Returns whether the update told anything new. */
	#applyUpdate(entry: MemberEntry, update: Update, now: Milliseconds): boolean {
		if (update.counter < entry.counter) {
			return false;
		}

		if (update.status === 'dead') {
			const reporter = update.reporter ?? '';
			const isNew = !entry.reporters.has(reporter);
			entry.reporters.add(reporter);
			return isNew;
		}

		const isNew =
			update.counter > entry.counter ||
			update.weight !== entry.weight ||
			(update.status === 'leaving' && !entry.isLeaving);
		if (update.counter > entry.counter) {
			entry.reporters.clear();
			entry.freshAt = now;
		}

		entry.counter = update.counter;
		entry.weight = update.weight;
		entry.isLeaving ||= update.status === 'leaving';
		return isNew;
	}

	/** Somebody takes this host for dead: it says that it lives. */
	#addRefutation(update: Update): void {
		const isOwn = update.incarnation === this.#parts.self.incarnation;
		if (isOwn && update.status === 'dead' && update.counter >= this.#counter) {
			this.#counter = update.counter + 1;
			this.#addOwnUpdate();
		}
	}

	/** Reports those hosts that should send to this one and no longer do. */
	#checkWatched(now: Milliseconds): void {
		this.#monitorsSince ??= now;
		if (this.#isAllToAll || now - this.#monitorsSince < reportAfter) {
			return;
		}

		const {self, table} = this.#parts;
		const watched = this.#ring.listPredecessors(self.name, monitorsPerHost);
		for (const name of watched) {
			const entry = table.findMember(name);
			if (entry !== undefined && this.#isSilent(entry, now)) {
				entry.reporters.add(self.name);
				this.#updates.add({
					...this.#toUpdate(entry, 'dead'),
					reporter: self.name,
				});
			}
		}
	}

	#isSilent(entry: MemberEntry, now: Milliseconds): boolean {
		const isReported = entry.reporters.has(this.#parts.self.name);
		const lastHeard = Math.max(entry.heardAt ?? entry.freshAt, entry.freshAt);
		return !isReported && now - lastHeard > reportAfter;
	}

	#addOwnWeight(): void {
		const {weight} = this.#parts.load;
		if (weight !== this.#toldWeight) {
			this.#toldWeight = weight;
			this.#addOwnUpdate();
		}
	}

	#addOwnUpdate(): void {
		const {self, load} = this.#parts;
		this.#counter++;
		this.#updates.add({
			name: self.name,
			incarnation: self.incarnation,
			counter: this.#counter,
			status: this.#isLeaving ? 'leaving' : 'live',
			weight: load.weight,
		});
	}

	#toUpdate(entry: MemberEntry, status: Update['status']): Update {
		const {host, counter, weight} = entry;
		const {name, incarnation} = host;
		const update: Update = {name, incarnation, counter, status, weight};
		return status === 'live' ? {...update, host} : update;
	}

	#listTargets(now: Milliseconds): string[] {
		const {self, table, random} = this.#parts;
		if (this.#isAllToAll) {
			return [...table.entries].map(({host}) => host.name);
		}

		const live = table.listLive(now);
		const targets = new Set(
			this.#ring.listSuccessors(self.name, monitorsPerHost),
		);
		for (let count = 0; count < gossipPerInterval; count++) {
			const chosen = live[Math.floor(random() * live.length)];
			if (chosen !== undefined) {
				targets.add(chosen.host.name);
			}
		}

		return [...targets];
	}

	#send(to: string, context: Context): void {
		const {self, load, table} = this.#parts;
		const isStranger = table.findMember(to)?.heardAt === undefined;
		const isIntroduction =
			(isStranger && this.#isAllToAll) ||
			this.#sentCount % introductionEvery === 0;
		const updates = this.#isAllToAll
			? []
			: this.#updates.take(updatesPerMessage, table.size);
		const payload: Heartbeat = {
			counter: this.#counter,
			leaving: this.#isLeaving,
			weight: load.weight,
			load: Math.round(load.load),
			updates,
		};
		context.emit({
			type: 'send-peer',
			to,
			topic: topics.heartbeat,
			payload: isIntroduction ? {...payload, host: self} : payload,
		});
	}
}
