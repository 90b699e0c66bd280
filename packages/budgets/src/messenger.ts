import type {Context, PeerMessage} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {Group} from './group.js';
import type {Holdings} from './holdings.js';
import type {LendingPolicy} from './lending-policy.js';
import type {LoanBook} from './loan-book.js';
import {
	stateSchema,
	stateTopic,
	type Handover,
	type Item,
	type ReportedDemand,
	type State,
	type Want,
} from './messages.js';
import type {Peer} from './peer.js';
import type {PeerTable} from './peer-table.js';
import type {Safeguards} from './safeguards.js';
import {promiseSpan} from './timing.js';

/** Budgets whose demand one message reports at the most. */
const demandsInMessage = 64;

export type MessengerOptions = {
	readonly incarnation: string;
	readonly safeguards: Safeguards;
	readonly groups: ReadonlyMap<string, Group>;
	readonly peers: PeerTable;
	readonly book: LoanBook;
	readonly holdings: Holdings;
	readonly policy: LendingPolicy;
	readonly isStopping: () => boolean;
};

/** Builds and takes the messages between hosts. */
export class Messenger {
	readonly #options: MessengerOptions;
	#firstDemand = 0;

	constructor(options: MessengerOptions) {
		this.#options = options;
	}

	/** Tells every peer the state of this host. */
	sendAll(context: Context): void {
		const demands = this.#listDemands(context.now);
		for (const peer of this.#options.peers.listPeers()) {
			this.#send(peer, {wants: [], demands}, context);
		}
	}

	/** Asks a peer to lend. */
	sendWants(peer: Peer, wants: readonly Want[], context: Context): void {
		const demands = this.#listDemands(context.now);
		this.#send(peer, {wants, demands}, context);
	}

	/** Sends what should not wait for the next regular message. */
	sendUrgent(context: Context): void {
		for (const peer of this.#options.peers.listPeers()) {
			if (peer.isUrgent) {
				const demands = [...peer.sentDemands];
				this.#send(peer, {wants: [], demands}, context);
			}
		}
	}

	/** Takes a message; true when something was credited. */
	onMessage(event: PeerMessage, context: Context): Set<string> {
		const changed = new Set<string>();
		const {safeguards, incarnation, peers} = this.#options;
		const parsed = stateSchema.safeParse(event.payload);
		const isForThis =
			parsed.data?.to === incarnation || !safeguards.checkIncarnation;
		if (!parsed.success || !isForThis) {
			return changed;
		}

		const state = parsed.data;
		const peer = peers.findOrCreate(event.from, context.now);
		// A message that a later one has overtaken could lengthen a right.
		if (peer !== undefined && state.sequence > peer.heardSequence) {
			this.#receive(peer, state, changed, context.now);
		}

		return changed;
	}

	#send(
		peer: Peer,
		what: {wants: readonly Want[]; demands: readonly ReportedDemand[]},
		context: Context,
	): void {
		const {now} = context;
		const {groups, book} = this.#options;
		peer.sentSequence++;
		peer.isUrgent = false;
		peer.sentDemands = what.demands;
		const isHeard = peer.heardStamp !== undefined;
		const roots = [...groups.values()].map((group) => group.root);
		const rootEnd = Math.min(...roots.map((root) => root.getFirstEnd()));
		const payload: State = {
			to: peer.incarnation,
			sequence: peer.sentSequence,
			stamp: now,
			echo: peer.heardStamp ?? null,
			loanEpoch: peer.loanEpoch,
			loanSpan: isHeard ? book.grantSpan(peer, rootEnd) : 0,
			droppedEpoch: peer.droppedEpoch,
			applied: peer.applied,
			items: peer.unacknowledged,
			promises: isHeard
				? [...groups.values()].flatMap((group) =>
						group.wards.renew(peer, group.claimed),
					)
				: [],
			wants: [...what.wants],
			demands: [...what.demands],
			recall:
				this.#options.isStopping() ||
				[...groups.values()].some((group) => group.isRecalling),
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
		state: State,
		changed: Set<string>,
		now: Milliseconds,
	): void {
		const {book, policy, groups} = this.#options;
		peer.heardSequence = state.sequence;
		peer.heardStamp = state.stamp;
		peer.heardAt = now;
		peer.isStopping = state.stopping;
		peer.demands = new Map(
			state.demands.map((demand) => [demand.budgetId, demand]),
		);
		this.#onApplied(peer, state.applied, now);
		if (state.droppedEpoch === peer.loanEpoch) {
			book.closeBook(peer, now);
		}

		const {echo} = state;
		const validUntil = echo === null ? undefined : echo + state.loanSpan;
		book.onGrant(peer, state.loanEpoch, validUntil, now);
		if (echo !== null) {
			for (const promise of state.promises) {
				const group = groups.get(promise.group);
				group?.onPromise(promise, peer, echo + promiseSpan, now);
			}
		}

		for (const item of state.items) {
			this.#onItem(peer, item, changed, now);
		}

		if (state.recall) {
			policy.returnAll(peer, now);
		}

		for (const want of state.wants) {
			policy.onWant(peer, want, now);
		}
	}

	#onApplied(peer: Peer, applied: number, now: Milliseconds): void {
		const {safeguards, holdings} = this.#options;
		if (!safeguards.debitBeforeCredit) {
			for (const item of peer.unacknowledged) {
				if (item.kind === 'loan' && item.sequence <= applied) {
					holdings.findKept(item.budgetId)?.addLent(item.units, now);
					const lent = peer.lent.get(item.budgetId) ?? 0;
					peer.lent.set(item.budgetId, lent + item.units);
				}
			}
		}

		peer.unacknowledged = peer.unacknowledged.filter(
			(item) => item.sequence > applied,
		);
	}

	#onItem(
		peer: Peer,
		item: Item,
		changed: Set<string>,
		now: Milliseconds,
	): void {
		const {book, groups, safeguards, policy, peers} = this.#options;
		if (item.sequence <= peer.applied && safeguards.applyOnce) {
			return;
		}

		peer.applied = Math.max(item.sequence, peer.applied);
		if (item.kind === 'loan') {
			book.onLoan(peer, item, now);
			changed.add(item.budgetId);
		} else if (item.kind === 'return') {
			book.onReturn(peer, item, now);
			policy.onReturned(item, peers.listPeers(), now);
			changed.add(item.budgetId);
		} else if (item.kind === 'release') {
			groups.get(item.group)?.onRelease(item, peer, now);
		} else {
			this.#onHandover(peer, item, now);
		}
	}

	#onHandover(peer: Peer, item: Handover, now: Milliseconds): void {
		const {groups, holdings} = this.#options;
		if (groups.get(item.group)?.onHandover(item, peer, now) !== true) {
			return;
		}

		for (const {budgetId, parts} of item.parts) {
			holdings.find(budgetId)?.addParts(parts, now);
		}
	}

	/** Demand of the budgets in use here, a part of them at a time. */
	#listDemands(now: Milliseconds): ReportedDemand[] {
		const active = [...this.#options.holdings.list()].filter((holding) =>
			holding.demand.isActive(now),
		);
		const first =
			active.length <= demandsInMessage ? 0 : this.#firstDemand % active.length;
		this.#firstDemand = first + demandsInMessage;
		return active.slice(first, first + demandsInMessage).map((holding) => ({
			budgetId: holding.spec.id,
			perSecond: Math.round(holding.demand.getPerSecond(now) * 100) / 100,
			units: holding.getUnits(now),
			available: holding.getAvailable(now),
		}));
	}
}
