import type {Context, PeerMessage} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {BudgetGroup} from './group.js';
import type {Holdings} from './holdings.js';
import type {LendingPolicy} from './lending-policy.js';
import type {LoanManager} from './loan-manager.js';
import {
	stateMessageSchema,
	stateTopic,
	type HandoverMessage,
	type QueuedMessage,
	type DemandReport,
	type StateMessage,
	type LoanRequest,
} from './messages.js';
import type {Peer} from './peer.js';
import type {PeerTable} from './peer-table.js';
import type {Safeguards} from './safeguards.js';
import {promiseDuration} from './timing.js';

/** Maximum number of budgets whose demand one message reports. */
const maxDemandsPerMessage = 64;

export type MessengerOptions = {
	readonly incarnation: string;
	readonly safeguards: Safeguards;
	readonly groups: ReadonlyMap<string, BudgetGroup>;
	readonly peers: PeerTable;
	readonly loans: LoanManager;
	readonly holdings: Holdings;
	readonly policy: LendingPolicy;
	readonly isStopping: () => boolean;
};

/** Sends and receives the state messages between hosts. */
export class Messenger {
	readonly #options: MessengerOptions;
	#nextDemandIndex = 0;

	constructor(options: MessengerOptions) {
		this.#options = options;
	}

	/** Sends the state of this host to every peer. */
	sendAll(context: Context): void {
		const demands = this.#listDemands(context.now);
		for (const peer of this.#options.peers.listPeers()) {
			this.#send(peer, {loanRequests: [], demands}, context);
		}
	}

	/** Sends loan requests to a peer. */
	sendLoanRequests(
		peer: Peer,
		wants: readonly LoanRequest[],
		context: Context,
	): void {
		const demands = this.#listDemands(context.now);
		this.#send(peer, {loanRequests: wants, demands}, context);
	}

	/**
	 * Sends the state to peers with queued messages that should not wait for the
	 * next interval.
	 */
	sendUrgent(context: Context): void {
		for (const peer of this.#options.peers.listPeers()) {
			if (peer.isUrgent) {
				const demands = [...peer.lastSentDemands];
				this.#send(peer, {loanRequests: [], demands}, context);
			}
		}
	}

	/** Handles a message; returns the ids of budgets that received a slice. */
	onMessage(event: PeerMessage, context: Context): Set<string> {
		const changedBudgets = new Set<string>();
		const {safeguards, incarnation, peers} = this.#options;
		const parsed = stateMessageSchema.safeParse(event.payload);
		const isForThisProcess =
			parsed.data?.to === incarnation || !safeguards.checkIncarnation;
		if (!parsed.success || !isForThisProcess) {
			return changedBudgets;
		}

		const state = parsed.data;
		const peer = peers.findOrCreate(event.from, context.now);
		// A message that arrives out of order could extend a lease or a promise.
		if (peer !== undefined && state.sequence > peer.lastReceivedSequence) {
			this.#receive(peer, state, changedBudgets, context.now);
		}

		return changedBudgets;
	}

	#send(
		peer: Peer,
		content: {
			loanRequests: readonly LoanRequest[];
			demands: readonly DemandReport[];
		},
		context: Context,
	): void {
		const {now} = context;
		const {groups, loans} = this.#options;
		peer.lastSentSequence++;
		peer.isUrgent = false;
		peer.lastSentDemands = content.demands;
		const hasReceived = peer.lastPeerClock !== undefined;
		const rootSharesByGroup = [...groups.values()].map(
			(group) => group.rootShares,
		);
		const rootExpiresAt = Math.min(
			...rootSharesByGroup.map((rootShares) => rootShares.getNextExpiry()),
		);
		const payload: StateMessage = {
			to: peer.incarnation,
			sequence: peer.lastSentSequence,
			stamp: now,
			echo: peer.lastPeerClock ?? null,
			loanEpoch: peer.lentEpoch,
			loanSpan: hasReceived ? loans.extendLoans(peer, rootExpiresAt) : 0,
			droppedEpoch: peer.droppedBorrowedEpoch,
			applied: peer.lastAppliedSequence,
			items: peer.unacknowledgedMessages,
			promises: hasReceived
				? [...groups.values()].flatMap((group) =>
						group.guaranteedEntries.renewPromises(peer, group.claimedIds),
					)
				: [],
			wants: [...content.loanRequests],
			demands: [...content.demands],
			recall:
				this.#options.isStopping() ||
				[...groups.values()].some((group) => group.isSplitPending),
			stopping: this.#options.isStopping(),
		};
		context.emit({
			type: 'send-peer',
			to: peer.name,
			topic: stateTopic,
			payload,
		});
	}

	#receive(
		peer: Peer,
		state: StateMessage,
		changedBudgets: Set<string>,
		now: Milliseconds,
	): void {
		const {loans, policy, groups} = this.#options;
		peer.lastReceivedSequence = state.sequence;
		peer.lastPeerClock = state.stamp;
		peer.lastReceivedAt = now;
		peer.isStopping = state.stopping;
		peer.demands = new Map(
			state.demands.map((demand) => [demand.budgetId, demand]),
		);
		this.#onAcknowledged(peer, state.applied, now);
		if (state.droppedEpoch === peer.lentEpoch) {
			loans.closeLentEpoch(peer, now);
		}

		const {echo} = state;
		const borrowedExpiresAt = echo === null ? undefined : echo + state.loanSpan;
		loans.onLoansExtended(peer, state.loanEpoch, borrowedExpiresAt, now);
		if (echo !== null) {
			for (const promise of state.promises) {
				const group = groups.get(promise.group);
				group?.onPromise(promise, peer, echo + promiseDuration, now);
			}
		}

		for (const message of state.items) {
			this.#onQueuedMessage(peer, message, changedBudgets, now);
		}

		if (state.recall) {
			policy.returnAll(peer, now);
		}

		for (const request of state.wants) {
			policy.onLoanRequest(peer, request, now);
		}
	}

	#onAcknowledged(
		peer: Peer,
		acknowledgedSequence: number,
		now: Milliseconds,
	): void {
		const {safeguards, holdings} = this.#options;
		if (!safeguards.debitBeforeCredit) {
			for (const message of peer.unacknowledgedMessages) {
				if (
					message.kind === 'loan' &&
					message.sequence <= acknowledgedSequence
				) {
					holdings
						.findIncludingRemoved(message.budgetId)
						?.addLent(message.units, now);
					const lentUnits = peer.lentUnits.get(message.budgetId) ?? 0;
					peer.lentUnits.set(message.budgetId, lentUnits + message.units);
				}
			}
		}

		peer.unacknowledgedMessages = peer.unacknowledgedMessages.filter(
			(message) => message.sequence > acknowledgedSequence,
		);
	}

	#onQueuedMessage(
		peer: Peer,
		message: QueuedMessage,
		changedBudgets: Set<string>,
		now: Milliseconds,
	): void {
		const {loans, groups, safeguards, policy, peers} = this.#options;
		if (message.sequence <= peer.lastAppliedSequence && safeguards.applyOnce) {
			return;
		}

		peer.lastAppliedSequence = Math.max(
			message.sequence,
			peer.lastAppliedSequence,
		);
		switch (message.kind) {
			case 'loan': {
				loans.onLoan(peer, message, now);
				changedBudgets.add(message.budgetId);
				break;
			}

			case 'return': {
				loans.onReturn(peer, message, now);
				policy.onReturned(message, peers.listPeers(), now);
				changedBudgets.add(message.budgetId);
				break;
			}

			case 'release': {
				groups.get(message.group)?.onRelease(message, peer, now);
				break;
			}

			case 'handover': {
				this.#onHandover(peer, message, now);
				break;
			}
		}
	}

	#onHandover(peer: Peer, message: HandoverMessage, now: Milliseconds): void {
		const {groups, holdings} = this.#options;
		if (groups.get(message.group)?.onHandover(message, peer, now) !== true) {
			return;
		}

		for (const {budgetId, parts} of message.parts) {
			holdings.findBudget(budgetId)?.addParts(parts, now);
		}
	}

	/**
	 * Reports the demand of active budgets, rotating through them if there are
	 * too many.
	 */
	#listDemands(now: Milliseconds): DemandReport[] {
		const active = [...this.#options.holdings.list()].filter((holding) =>
			holding.demand.isActive(now),
		);
		const firstIndex =
			active.length <= maxDemandsPerMessage
				? 0
				: this.#nextDemandIndex % active.length;
		this.#nextDemandIndex = firstIndex + maxDemandsPerMessage;
		return active
			.slice(firstIndex, firstIndex + maxDemandsPerMessage)
			.map((holding) => ({
				budgetId: holding.spec.id,
				perSecond: Math.round(holding.demand.getPerSecond(now) * 100) / 100,
				units: holding.getHeldUnits(now),
				available: holding.getAvailableAmount(now),
			}));
	}
}
