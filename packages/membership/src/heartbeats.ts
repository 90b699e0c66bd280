import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Context, PeerIdentity} from '@parsleyvale/kernel';
import type {LoadWeight} from './load-weight.js';
import type {MemberEntry, MemberTable} from './member-table.js';
import {topics, type Heartbeat, type Update} from './messages.js';
import {
	allToAllLimit,
	gossipTargetsPerInterval,
	heartbeatInterval,
	reportTimeout,
	ringHeartbeatInterval,
	monitorsPerHost,
} from './options.js';
import {Ring} from './ring.js';
import {UpdateQueue} from './update-queue.js';

/** Maximum number of gossiped updates in a heartbeat. */
const updatesPerMessage = 6;

/**
 * One in this many heartbeats carries the sender's addresses. In small fleets, so
 * do all heartbeats to a host until it is first heard from.
 */
const heartbeatsPerAddressReport = 10;

type Dependencies = {
	readonly self: EntryHost;
	readonly random: () => number;
	readonly table: MemberTable;
	readonly loadWeight: LoadWeight;
};

/**
 * Sends and receives heartbeats. In a small fleet they go to every host. In a
 * large one they go to the host's monitors on a ring and to a few random hosts,
 * and carry gossiped membership updates.
 *
 * @internal
 */
export class Heartbeats {
	readonly #dependencies: Dependencies;
	readonly #ring = new Ring();
	readonly #updates = new UpdateQueue();
	#counter = 0;
	#sentCount = 0;
	#sentAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#monitoringSince: Milliseconds | undefined;
	#isLeaving = false;
	#sentWeight = 1;

	constructor(dependencies: Dependencies) {
		this.#dependencies = dependencies;
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	get #isAllToAll(): boolean {
		return this.#dependencies.table.size <= allToAllLimit;
	}

	/** Announces at the next tick that this host is stopping. */
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
		const {table, self} = this.#dependencies;
		table.setAllToAll(this.#isAllToAll);
		this.#ring.set([
			self.name,
			...table.listLive(context.now).map(({host}) => host.name),
		]);
		this.#reportSilentHosts(context.now);
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
		const {table} = this.#dependencies;
		const isSelfReport = heartbeat.host?.name === from.name;
		if (heartbeat.host !== undefined && isSelfReport) {
			this.#addHost(heartbeat.host, now);
		}

		const entry = table.onMessageFrom(from, now);
		if (entry !== undefined) {
			entry.counter = Math.max(entry.counter, heartbeat.counter);
			entry.isLeaving ||= heartbeat.leaving;
			entry.weight = heartbeat.weight;
			entry.requestRate = heartbeat.load;
		}

		for (const update of heartbeat.updates) {
			this.#onUpdate(update, now);
		}
	}

	#addHost(host: EntryHost, now: Milliseconds): void {
		const {table} = this.#dependencies;
		const existing = table.findMember(host.name);
		const entry = table.add(host, now);
		if (entry !== undefined && entry !== existing && !this.#isAllToAll) {
			this.#updates.add(this.#toUpdate(entry, 'live'));
		}
	}

	#onUpdate(update: Update, now: Milliseconds): void {
		const {self, table} = this.#dependencies;
		if (update.name === self.name) {
			this.#addRefutation(update);
			return;
		}

		const before = table.findMember(update.name);
		if (update.host !== undefined && this.#isNewIncarnation(before, update)) {
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

	#isNewIncarnation(before: MemberEntry | undefined, update: Update): boolean {
		const isKnown = before?.host.incarnation === update.incarnation;
		return !isKnown && update.status === 'live';
	}

	/** Returns whether the update changed the entry. */
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
			entry.lastAliveAt = now;
		}

		entry.counter = update.counter;
		entry.weight = update.weight;
		entry.isLeaving ||= update.status === 'leaving';
		return isNew;
	}

	/** Refutes a report that this host is dead, with a higher counter. */
	#addRefutation(update: Update): void {
		const isOwn = update.incarnation === this.#dependencies.self.incarnation;
		if (isOwn && update.status === 'dead' && update.counter >= this.#counter) {
			this.#counter = update.counter + 1;
			this.#addOwnUpdate();
		}
	}

	/** Reports hosts that this one monitors and no longer hears from. */
	#reportSilentHosts(now: Milliseconds): void {
		this.#monitoringSince ??= now;
		if (this.#isAllToAll || now - this.#monitoringSince < reportTimeout) {
			return;
		}

		const {self, table} = this.#dependencies;
		const monitored = this.#ring.listPredecessors(self.name, monitorsPerHost);
		for (const name of monitored) {
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
		const isReported = entry.reporters.has(this.#dependencies.self.name);
		const lastAliveAt = Math.max(
			entry.lastHeardAt ?? entry.lastAliveAt,
			entry.lastAliveAt,
		);
		return !isReported && now - lastAliveAt > reportTimeout;
	}

	#addOwnWeight(): void {
		const {weight} = this.#dependencies.loadWeight;
		if (weight !== this.#sentWeight) {
			this.#sentWeight = weight;
			this.#addOwnUpdate();
		}
	}

	#addOwnUpdate(): void {
		const {self, loadWeight} = this.#dependencies;
		this.#counter++;
		this.#updates.add({
			name: self.name,
			incarnation: self.incarnation,
			counter: this.#counter,
			status: this.#isLeaving ? 'leaving' : 'live',
			weight: loadWeight.weight,
		});
	}

	#toUpdate(entry: MemberEntry, status: Update['status']): Update {
		const {host, counter, weight} = entry;
		const {name, incarnation} = host;
		const update: Update = {name, incarnation, counter, status, weight};
		return status === 'live' ? {...update, host} : update;
	}

	#listTargets(now: Milliseconds): string[] {
		const {self, table, random} = this.#dependencies;
		if (this.#isAllToAll) {
			return [...table.entries].map(({host}) => host.name);
		}

		const live = table.listLive(now);
		const targets = new Set(
			this.#ring.listSuccessors(self.name, monitorsPerHost),
		);
		for (let count = 0; count < gossipTargetsPerInterval; count++) {
			const chosen = live[Math.floor(random() * live.length)];
			if (chosen !== undefined) {
				targets.add(chosen.host.name);
			}
		}

		return [...targets];
	}

	#send(to: string, context: Context): void {
		const {self, loadWeight, table} = this.#dependencies;
		const isNeverHeard = table.findMember(to)?.lastHeardAt === undefined;
		const hasHost =
			(isNeverHeard && this.#isAllToAll) ||
			this.#sentCount % heartbeatsPerAddressReport === 0;
		const updates = this.#isAllToAll
			? []
			: this.#updates.take(updatesPerMessage, table.size);
		const payload: Heartbeat = {
			counter: this.#counter,
			leaving: this.#isLeaving,
			weight: loadWeight.weight,
			load: Math.round(loadWeight.requestRate),
			updates,
		};
		context.emit({
			type: 'send-peer',
			to,
			topic: topics.heartbeat,
			payload: hasHost ? {...payload, host: self} : payload,
		});
	}
}
