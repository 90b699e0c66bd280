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
import {BudgetGroup} from './group.js';
import {Holdings, fleetGroup, toRegionGroup} from './holdings.js';
import {LendingPolicy} from './lending-policy.js';
import type {ProcessId} from './ledger.js';
import {LoanManager} from './loan-manager.js';
import {stateTopic, type LoanRequest} from './messages.js';
import {listLikelyLenders} from './likely-lenders.js';
import {Messenger} from './messenger.js';
import type {Peer} from './peer.js';
import {PeerTable} from './peer-table.js';
import type {Safeguards} from './safeguards.js';
import {listConfiguredSpecs} from './specs.js';
import {chooseGuarantor, listReceivers} from './peer-selection.js';
import {Shutdown} from './shutdown.js';
import {stateMessageInterval, loanRequestInterval} from './timing.js';

/** Budgets divided into shares: each host takes only from its own share. */
export class DistributedBudgets extends Budgets {
	readonly groups = new Map<string, BudgetGroup>();
	readonly peers: PeerTable;
	readonly loans: LoanManager;
	readonly holdings: Holdings;
	readonly #self: EntryHost;
	readonly #safeguards: Safeguards;
	readonly #isLending: boolean;
	readonly #policy: LendingPolicy;
	readonly #messenger: Messenger;
	readonly #pendingLoanRequests = new Map<string, number>();
	#nextStateMessageAt = Number.NEGATIVE_INFINITY;
	#shutdown: Shutdown | undefined;
	#isStarted = false;
	#lastTakenAt = Number.NEGATIVE_INFINITY;
	#configuredIds = new Set<string>();

	constructor(kernel: Kernel, safeguards: Safeguards, isLending: boolean) {
		super();
		this.#self = kernel.self;
		this.#safeguards = safeguards;
		this.#isLending = isLending;
		this.holdings = new Holdings(safeguards, this.groups);
		this.loans = new LoanManager(safeguards, (id) =>
			this.holdings.findIncludingRemoved(id),
		);
		this.peers = new PeerTable(kernel.self);
		this.#policy = new LendingPolicy(this.loans, this.holdings);
		for (const name of [fleetGroup, toRegionGroup(kernel.self.region)]) {
			this.groups.set(name, this.#createGroup(name, kernel.random));
		}

		this.#messenger = new Messenger({
			incarnation: kernel.self.incarnation,
			safeguards,
			groups: this.groups,
			peers: this.peers,
			loans: this.loans,
			holdings: this.holdings,
			policy: this.#policy,
			isStopping: () => this.#shutdown !== undefined,
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

	release(
		budgetId: string,
		amount: number,
		now: Milliseconds,
		takenAt: Milliseconds,
	): void {
		this.#advance(now);
		this.holdings.findIncludingRemoved(budgetId)?.release(amount, now, takenAt);
	}

	requestLoan(budgetId: string, amount: number, context: Context): void {
		const holding = this.holdings.findBudget(budgetId);
		if (holding === undefined || !this.#isLending) {
			return;
		}

		const {now} = context;
		const {demand} = holding;
		demand.add(amount, now);
		this.#pendingLoanRequests.set(
			budgetId,
			(this.#pendingLoanRequests.get(budgetId) ?? 0) + amount,
		);
		const pendingAmount = this.#pendingLoanRequests.get(budgetId)!;
		const isWithinInterval =
			now - demand.lastLoanRequestedAt < loanRequestInterval;
		if (
			!isWithinInterval ||
			pendingAmount >=
				2 * demand.getRecentLoanRequestAmount(now - loanRequestInterval)
		) {
			this.#sendLoanRequests([budgetId], context);
		}
	}

	getAvailable(budgetId: string, now: Milliseconds): number {
		this.#advanceOnTake(now);
		return this.holdings.findBudget(budgetId)?.getAvailableAmount(now) ?? 0;
	}

	/**
	 * Runs all periodic work: expiry, the ledger, rebalancing and state messages.
	 */
	onTick(context: Context): void {
		const {now} = context;
		this.#advance(now);
		this.#start(context);
		this.loans.reclaimExpired(now);
		for (const group of this.groups.values()) {
			group.advance(context);
		}

		this.#shutdown?.advance(this.#lastTakenAt, now);
		const isStateMessageDue = now >= this.#nextStateMessageAt;
		if (isStateMessageDue) {
			this.#nextStateMessageAt = now + stateMessageInterval;
			this.peers.removeExpired(now);
			if (this.#isLending) {
				this.#rebalance(now);
			}
		}

		this.#sendLoanRequests([...this.#pendingLoanRequests.keys()], context);
		if (isStateMessageDue) {
			this.#messenger.sendAll(context);
		}

		this.#messenger.sendUrgent(context);
	}

	onMessage(event: PeerMessage, context: Context): void {
		if (event.topic !== stateTopic) {
			return;
		}

		this.#advance(context.now);
		const changedBudgets = this.#messenger.onMessage(event, context);
		this.#messenger.sendUrgent(context);
		for (const budgetId of changedBudgets) {
			context.raise({type: 'budget-changed', budgetId});
		}
	}

	onObject(object: StoredObject, context: Context): void {
		const group = this.#findGroupByObject(object.name);
		group?.ledgerClient.onObject(object, context);
		group?.update(context.now);
		group?.advance(context);
	}

	onRead(event: ObjectRead, context: Context): void {
		const group = this.#findGroupByObject(event.name);
		group?.ledgerClient.onRead(event, context);
		group?.update(context.now);
		group?.advance(context);
	}

	onWritten(event: ObjectWritten, context: Context): void {
		const group = this.#findGroupByObject(event.name);
		group?.ledgerClient.onWritten(event, context);
		group?.update(context.now);
	}

	onMembers(members: readonly EntryHost[], now: Milliseconds): void {
		this.peers.setMembers(members, now);
	}

	/**
	 * Defines the budgets of a configuration and removes those it no longer
	 * contains.
	 */
	onConfiguration(configuration: Configuration, context: Context): void {
		const specs = listConfiguredSpecs(configuration);
		for (const spec of specs) {
			this.define(spec, context);
		}

		const ids = new Set(specs.map((spec) => spec.id));
		for (const id of this.#configuredIds) {
			if (!ids.has(id)) {
				this.remove(id, context);
			}
		}

		this.#configuredIds = ids;
	}

	onStop(now: Milliseconds): void {
		this.#shutdown ??= new Shutdown(
			{
				groups: this.groups,
				peers: this.peers,
				loans: this.loans,
				holdings: this.holdings,
				policy: this.#policy,
				applyClockMargin: this.#safeguards.applyClockMargin,
			},
			now,
		);
	}

	isBusy(now: Milliseconds): boolean {
		return this.#shutdown?.isBusy(now) ?? false;
	}

	override hasShare(now: Milliseconds): boolean {
		const group = this.groups.get(fleetGroup);
		group?.rootShares.advance(now);
		return (group?.rootShares.units ?? 0) > 0;
	}

	#advanceOnTake(now: Milliseconds): void {
		if (this.#safeguards.checkOnTake) {
			this.#advance(now);
		}
	}

	#advance(now: Milliseconds): void {
		for (const group of this.groups.values()) {
			group.rootShares.advance(now);
		}

		this.loans.advance(now);
	}

	#start(context: Context): void {
		if (!this.#isStarted) {
			this.#isStarted = true;
			for (const group of this.groups.values()) {
				group.ledgerClient.watch(context);
			}
		}
	}

	#sendLoanRequests(budgetIds: readonly string[], context: Context): void {
		const {now} = context;
		const requestsByPeer = new Map<Peer, LoanRequest[]>();
		for (const budgetId of budgetIds) {
			const amount = this.#pendingLoanRequests.get(budgetId) ?? 0;
			this.#pendingLoanRequests.delete(budgetId);
			const holding = this.holdings.findBudget(budgetId);
			if (holding === undefined) {
				continue;
			}

			const lenders = listLikelyLenders(this.peers, holding, amount, now);
			holding.demand.recordLoanRequest(amount, now);
			for (const peer of lenders) {
				requestsByPeer.set(peer, [
					...(requestsByPeer.get(peer) ?? []),
					{budgetId, amount},
				]);
			}
		}

		for (const [peer, requests] of requestsByPeer) {
			this.#messenger.sendLoanRequests(peer, requests, context);
		}
	}

	#rebalance(now: Milliseconds): void {
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
				this.#policy.rebalance(holding, peers, now);
			}
		}
	}

	#findGroupByObject(objectName: string): BudgetGroup | undefined {
		return [...this.groups.values()].find(
			(group) => group.ledgerClient.objectName === objectName,
		);
	}

	#createGroup(name: string, random: () => number): BudgetGroup {
		const {peers, holdings} = this;
		const {region} = this.#self;
		const self: ProcessId = {
			name: this.#self.name,
			incarnation: this.#self.incarnation,
		};
		const groupRegion = name === fleetGroup ? undefined : region;
		return new BudgetGroup(
			name,
			this.#safeguards,
			{
				self,
				findPeer: (process) => peers.findProcess(process),
				chooseGuarantor: (current, now) =>
					chooseGuarantor(
						this.#self,
						peers,
						{current, region: groupRegion},
						now,
					),
				listReceivers: (now) => listReceivers(peers, groupRegion, now),
				fitsWithin: (remaining) => holdings.fitsWithin(name, remaining),
				getLongestHold: () => holdings.getLongestHold(name),
				isMember: (peerName) =>
					groupRegion === undefined ||
					peers.findMember(peerName)?.region === groupRegion,
				isStopping: () => this.#shutdown !== undefined,
			},
			random,
		);
	}
}
