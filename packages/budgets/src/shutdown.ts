import {second, type Milliseconds} from '@parsleyvale/shared';
import type {BudgetGroup} from './group.js';
import type {Holdings} from './holdings.js';
import type {LendingPolicy} from './lending-policy.js';
import type {LoanManager} from './loan-manager.js';
import type {HeldEntry} from './root-shares.js';
import type {Peer} from './peer.js';
import type {PeerTable} from './peer-table.js';
import {livenessTimeout, recallTimeout} from './timing.js';
import {shortenByClockDrift} from './units.js';

/** A stopping host hands over its shares after this time without a take. */
const idleDuration: Milliseconds = second / 2;

/** Maximum number of budgets whose tokens are transferred with a root share. */
const maxBudgetsPerHandover = 256;

export type ShutdownOptions = {
	readonly groups: ReadonlyMap<string, BudgetGroup>;
	readonly peers: PeerTable;
	readonly loans: LoanManager;
	readonly holdings: Holdings;
	readonly policy: LendingPolicy;
	readonly applyClockMargin: boolean;
};

/** Returns loans and hands over the root shares of a stopping host. */
export class Shutdown {
	readonly #options: ShutdownOptions;
	readonly #startedAt: Milliseconds;
	#handedOverAt: Milliseconds | undefined;

	constructor(options: ShutdownOptions, now: Milliseconds) {
		this.#options = options;
		this.#startedAt = now;
	}

	/**
	 * Whether the shares are not handed over yet or messages to live peers are not
	 * acknowledged yet.
	 */
	isBusy(now: Milliseconds): boolean {
		if (this.#handedOverAt === undefined) {
			return true;
		}

		const hasUnacknowledged = this.#options.peers
			.listPeers()
			.some(
				(peer) =>
					peer.unacknowledgedMessages.length > 0 &&
					peer.isLive(now, livenessTimeout),
			);
		return hasUnacknowledged && now - this.#handedOverAt < recallTimeout;
	}

	advance(lastTakenAt: Milliseconds, now: Milliseconds): void {
		const {loans, policy, peers} = this.#options;
		const isIdle = now - lastTakenAt >= idleDuration;
		if (this.#handedOverAt !== undefined || !isIdle) {
			return;
		}

		policy.returnAll(undefined, now);
		const hasTimedOut = now - this.#startedAt > recallTimeout;
		const hasNoSuccessor = this.#listSuccessors(now).length === 0;
		if (loans.hasLent && !hasTimedOut) {
			return;
		}

		this.#handedOverAt = now;
		if (!loans.hasLent && !hasNoSuccessor) {
			this.#handOverAll(now);
		}

		for (const [name, group] of this.#options.groups) {
			for (const entry of group.guaranteedEntries.release(group.claimedIds)) {
				peers.findProcess(entry.holder)?.enqueue({
					kind: 'release',
					group: name,
					entryId: entry.id,
					entryEpoch: entry.epoch,
				});
			}
		}
	}

	/** Lists live peers that are not shutting down. */
	#listSuccessors(now: Milliseconds): Peer[] {
		return this.#options.peers
			.listPeers()
			.filter((peer) => peer.isLive(now, livenessTimeout) && !peer.isStopping);
	}

	#handOverAll(now: Milliseconds): void {
		for (const group of this.#options.groups.values()) {
			const successors = this.#listSuccessors(now).filter((peer) =>
				group.isMember(peer.name),
			);
			for (const held of group.rootShares.listEntries()) {
				const successor = group.findSuccessor(held, successors);
				if (successor !== undefined && held.leaseExpiresAt > now) {
					this.#handOverEntry(group, held, successor, now);
				}
			}
		}
	}

	#handOverEntry(
		group: BudgetGroup,
		held: HeldEntry,
		successor: Peer,
		now: Milliseconds,
	): void {
		const groupName = group.name;
		const {holdings, applyClockMargin} = this.#options;
		const isClean =
			held.takenOverAt === undefined &&
			holdings.fitsWithin(groupName, group.listOtherEntries(held));
		const parts = this.#debitParts(groupName, held, now);
		group.removeHandedOver(held, now);
		successor.enqueue({
			kind: 'handover',
			group: groupName,
			entryId: held.id,
			entryEpoch: held.epoch,
			from: held.from,
			to: held.to,
			isClean,
			stamp: successor.lastPeerClock ?? 0,
			remaining: shortenByClockDrift(
				held.leaseExpiresAt - successor.lastReceivedAt,
				applyClockMargin,
			),
			parts,
		});
	}

	/** Debits the tokens that are transferred with the entry. */
	#debitParts(
		groupName: string,
		held: HeldEntry,
		now: Milliseconds,
	): Array<{budgetId: string; parts: number}> {
		return this.#options.holdings
			.listByGroup(groupName)
			.filter((holding) => holding.spec.kind === 'rate')
			.slice(0, maxBudgetsPerHandover)
			.map((holding) => ({
				budgetId: holding.spec.id,
				parts: holding.debitSlice(held.to - held.from, undefined, now).parts,
			}))
			.filter(({parts}) => parts > 0);
	}
}
