import {
	Budgets,
	type BudgetSpec,
	type Context,
	type Kernel,
	type ObjectRead,
	type ObjectWritten,
	type PeerMessage,
	type StoredObject,
	type TakeResult,
} from '@parsleyvale/kernel';
import type {Configuration, EntryHost, Milliseconds} from '@parsleyvale/shared';
import {Group} from './group.js';
import {Holdings, fleetGroup, toRegionGroup} from './holdings.js';
import {LendingPolicy} from './lending-policy.js';
import type {ProcessId} from './ledger.js';
import {LoanBook} from './loan-book.js';
import {stateTopic, type Want} from './messages.js';
import {listLikelyLenders} from './likely-lenders.js';
import {Messenger} from './messenger.js';
import type {Peer} from './peer.js';
import {PeerTable} from './peer-table.js';
import type {Safeguards} from './safeguards.js';
import {listSpecs} from './specs.js';
import {chooseGuarantor, listReceivers} from './neighbours.js';
import {Stopping} from './stopping.js';
import {gossipPeriod, wantPeriod} from './timing.js';

/** Budgets held in escrow: each host takes from its own share alone. */
export class EscrowedBudgets extends Budgets {
	readonly groups = new Map<string, Group>();
	readonly peers: PeerTable;
	readonly book: LoanBook;
	readonly holdings: Holdings;
	readonly #self: EntryHost;
	readonly #safeguards: Safeguards;
	readonly #isLending: boolean;
	readonly #policy: LendingPolicy;
	readonly #messenger: Messenger;
	readonly #wanted = new Map<string, number>();
	#gossipAt = Number.NEGATIVE_INFINITY;
	#stopping: Stopping | undefined;
	#isStarted = false;
	#lastTakenAt = Number.NEGATIVE_INFINITY;
	#configured = new Set<string>();

	constructor(kernel: Kernel, safeguards: Safeguards, isLending: boolean) {
		super();
		this.#self = kernel.self;
		this.#safeguards = safeguards;
		this.#isLending = isLending;
		this.holdings = new Holdings(safeguards, this.groups);
		this.book = new LoanBook(safeguards, (id) => this.holdings.findKept(id));
		this.peers = new PeerTable(kernel.self);
		this.#policy = new LendingPolicy(this.book, this.holdings);
		for (const name of [fleetGroup, toRegionGroup(kernel.self.region)]) {
			this.groups.set(name, this.#createGroup(name, kernel.random));
		}

		this.#messenger = new Messenger({
			incarnation: kernel.self.incarnation,
			safeguards,
			groups: this.groups,
			peers: this.peers,
			book: this.book,
			holdings: this.holdings,
			policy: this.#policy,
			isStopping: () => this.#stopping !== undefined,
		});
	}

	define(spec: BudgetSpec, context: Context): void {
		this.#advance(context.now);
		this.holdings.define(spec, context.now);
	}

	remove(budgetId: string, context: Context): void {
		this.#advance(context.now);
		this.holdings.remove(budgetId);
	}

	take(budgetId: string, amount: number, now: Milliseconds): TakeResult {
		this.#advanceOnTake(now);
		const holding = this.holdings.findBudget(budgetId);
		if (holding === undefined) {
			return 'unknown-budget';
		}

		const result = holding.take(amount, now);
		if (result === 'taken') {
			holding.demand.add(amount, now);
			this.#lastTakenAt = now;
		}

		return result;
	}

	giveBack(
		budgetId: string,
		amount: number,
		now: Milliseconds,
		takenAt: Milliseconds,
	): void {
		this.#advance(now);
		this.holdings.findKept(budgetId)?.giveBack(amount, now, takenAt);
	}

	want(budgetId: string, amount: number, context: Context): void {
		const holding = this.holdings.findBudget(budgetId);
		if (holding === undefined || !this.#isLending) {
			return;
		}

		const {now} = context;
		const {demand} = holding;
		demand.add(amount, now);
		this.#wanted.set(budgetId, (this.#wanted.get(budgetId) ?? 0) + amount);
		const waiting = this.#wanted.get(budgetId)!;
		const isSoon = now - demand.wantedAt < wantPeriod;
		if (!isSoon || waiting >= 2 * demand.getWanted(now - wantPeriod)) {
			this.#sendWants([budgetId], context);
		}
	}

	getAvailable(budgetId: string, now: Milliseconds): number {
		this.#advanceOnTake(now);
		return this.holdings.findBudget(budgetId)?.getAvailable(now) ?? 0;
	}

	/** Does all that is done by time. */
	onTick(context: Context): void {
		const {now} = context;
		this.#advance(now);
		this.#start(context);
		this.book.reclaim(now);
		for (const group of this.groups.values()) {
			group.advance(context);
		}

		this.#stopping?.advance(this.#lastTakenAt, now);
		const isDue = now >= this.#gossipAt;
		if (isDue) {
			this.#gossipAt = now + gossipPeriod;
			this.peers.removeOld(now);
			if (this.#isLending) {
				this.#balance(now);
			}
		}

		this.#sendWants([...this.#wanted.keys()], context);
		if (isDue) {
			this.#messenger.sendAll(context);
		}

		this.#messenger.sendUrgent(context);
	}

	onMessage(event: PeerMessage, context: Context): void {
		if (event.topic !== stateTopic) {
			return;
		}

		this.#advance(context.now);
		const changed = this.#messenger.onMessage(event, context);
		this.#messenger.sendUrgent(context);
		for (const budgetId of changed) {
			context.raise({type: 'budget-changed', budgetId});
		}
	}

	onObject(object: StoredObject, context: Context): void {
		const group = this.#findGroupOf(object.name);
		group?.client.onObject(object, context);
		group?.update(context.now);
		group?.advance(context);
	}

	onRead(event: ObjectRead, context: Context): void {
		const group = this.#findGroupOf(event.name);
		group?.client.onRead(event, context);
		group?.update(context.now);
		group?.advance(context);
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const group = this.#findGroupOf(event.name);
		group?.client.onWritten(event, context);
		group?.update(context.now);
	}

	onMembers(members: readonly EntryHost[], now: Milliseconds): void {
		this.peers.setMembers(members, now);
	}

	/** Defines what the configuration sets and removes what it set before. */
	onConfiguration(configuration: Configuration, context: Context): void {
		const specs = listSpecs(configuration);
		for (const spec of specs) {
			this.define(spec, context);
		}

		const ids = new Set(specs.map((spec) => spec.id));
		for (const id of this.#configured) {
			if (!ids.has(id)) {
				this.remove(id, context);
			}
		}

		this.#configured = ids;
	}

	onStop(now: Milliseconds): void {
		this.#stopping ??= new Stopping(
			{
				groups: this.groups,
				peers: this.peers,
				book: this.book,
				holdings: this.holdings,
				policy: this.#policy,
				hasClockMargin: this.#safeguards.clockMargin,
			},
			now,
		);
	}

	isBusy(now: Milliseconds): boolean {
		return this.#stopping?.isBusy(now) ?? false;
	}

	override hasShare(now: Milliseconds): boolean {
		const group = this.groups.get(fleetGroup);
		group?.root.advance(now);
		return (group?.root.units ?? 0) > 0;
	}

	#advanceOnTake(now: Milliseconds): void {
		if (this.#safeguards.checkOnTake) {
			this.#advance(now);
		}
	}

	#advance(now: Milliseconds): void {
		for (const group of this.groups.values()) {
			group.root.advance(now);
		}

		this.book.advance(now);
	}

	#start(context: Context): void {
		if (!this.#isStarted) {
			this.#isStarted = true;
			for (const group of this.groups.values()) {
				group.client.start(context);
			}
		}
	}

	#sendWants(budgetIds: readonly string[], context: Context): void {
		const {now} = context;
		const asked = new Map<Peer, Want[]>();
		for (const budgetId of budgetIds) {
			const amount = this.#wanted.get(budgetId) ?? 0;
			this.#wanted.delete(budgetId);
			const holding = this.holdings.findBudget(budgetId);
			if (holding === undefined) {
				continue;
			}

			const lenders = listLikelyLenders(this.peers, holding, amount, now);
			holding.demand.setWanted(amount, now);
			for (const peer of lenders) {
				asked.set(peer, [...(asked.get(peer) ?? []), {budgetId, amount}]);
			}
		}

		for (const [peer, wants] of asked) {
			this.#messenger.sendWants(peer, wants, context);
		}
	}

	#balance(now: Milliseconds): void {
		const peers = this.peers.listPeers();
		const ids = new Set<string>();
		for (const peer of peers) {
			for (const budgetId of peer.demands.keys()) {
				ids.add(budgetId);
			}
		}

		for (const holding of this.holdings.list()) {
			if (holding.demand.isActive(now)) {
				ids.add(holding.spec.id);
			}
		}

		for (const id of ids) {
			const holding = this.holdings.findBudget(id);
			if (holding !== undefined) {
				this.#policy.balance(holding, peers, now);
			}
		}
	}

	#findGroupOf(objectName: string): Group | undefined {
		return [...this.groups.values()].find(
			(group) => group.client.name === objectName,
		);
	}

	#createGroup(name: string, random: () => number): Group {
		const {peers, holdings} = this;
		const {region} = this.#self;
		const self: ProcessId = {
			name: this.#self.name,
			incarnation: this.#self.incarnation,
		};
		const ownRegion = name === fleetGroup ? undefined : region;
		return new Group(
			name,
			this.#safeguards,
			{
				self,
				findPeer: (process) => peers.findProcess(process),
				chooseGuarantor: (current, now) =>
					chooseGuarantor(this.#self, peers, {current, region: ownRegion}, now),
				listReceivers: (now) => listReceivers(peers, ownRegion, now),
				hasRoomIn: (kept) => holdings.hasRoomIn(name, kept),
				getLongestHold: () => holdings.getLongestHold(name),
				isMember: (peerName) =>
					ownRegion === undefined ||
					peers.findMember(peerName)?.region === ownRegion,
				isStopping: () => this.#stopping !== undefined,
			},
			random,
		);
	}
}
