import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Holding} from './holding.js';
import type {Holdings} from './holdings.js';
import type {LoanManager, TransferSize} from './loan-manager.js';
import type {DemandReport, ReturnMessage, LoanRequest} from './messages.js';
import type {Peer} from './peer.js';
import {livenessTimeout, recentLoanRequestWindow} from './timing.js';
import {partsPerToken} from './units.js';

/** Tokens kept when lending, as the time in which this host requests them. */
const ownDemandReserveDuration: Milliseconds = 50;

/** A host without demand lends at least this fraction of what is available. */
const idleLendingFraction = 1 / 4;

/** Fraction of a budget that is divided evenly, regardless of demand. */
const evenlySharedFraction = 0.02;

/** Minimum transfer, as a fraction of the budget. */
const minTransferFraction = 1 / 50;

type HostDemand = {
	readonly peer: Peer | undefined;
	readonly perSecond: number;
	readonly units: number;
};

/** Decides how much to lend or return to which peer. */
export class LendingPolicy {
	readonly #loans: LoanManager;
	readonly #holdings: Holdings;

	constructor(loans: LoanManager, holdings: Holdings) {
		this.#loans = loans;
		this.#holdings = holdings;
	}

	/** Lends to a peer whose share does not cover its demand. */
	onLoanRequest(peer: Peer, request: LoanRequest, now: Milliseconds): void {
		const holding = this.#holdings.findBudget(request.budgetId);
		if (holding !== undefined && !peer.isStopping) {
			this.#lendOnRequest(peer, holding, request.amount, now);
		}
	}

	/** Lends a returned slice to the next borrower named in the message. */
	onReturned(
		message: ReturnMessage,
		peers: readonly Peer[],
		now: Milliseconds,
	): void {
		const holding = this.#holdings.findBudget(message.budgetId);
		const peer = peers.find(({name}) => name === message.beneficiary);
		if (holding !== undefined && peer !== undefined && !peer.isStopping) {
			const tokens = message.parts / partsPerToken;
			this.#lend(peer, holding, {units: message.units, tokens}, now);
		}
	}

	/** Returns transferable units to one lender, or to all if undefined. */
	returnAll(lender: Peer | undefined, now: Milliseconds): void {
		const lenders = lender === undefined ? this.#loans.listLenders() : [lender];
		for (const peer of lenders) {
			for (const budgetId of peer.borrowedUnits.keys()) {
				const holding = this.#holdings.findBudget(budgetId);
				if (holding !== undefined) {
					this.#return(peer, holding, Number.MAX_SAFE_INTEGER, now);
				}
			}
		}
	}

	/**
	 * Lends and returns this host's surplus of a budget in proportion to demand.
	 */
	rebalance(holding: Holding, peers: readonly Peer[], now: Milliseconds): void {
		const hostDemands = this.#listHostDemands(holding, peers, now);
		const total = hostDemands.reduce((sum, each) => sum + each.perSecond, 0);
		if (total === 0) {
			return;
		}

		const toTargetUnits = (each: HostDemand) =>
			holding.totalUnits *
			((1 - evenlySharedFraction) * (each.perSecond / total) +
				evenlySharedFraction / hostDemands.length);
		const surplus = hostDemands.map((each) =>
			Math.max(0, each.units - toTargetUnits(each)),
		);
		const ownSurplus = surplus[0]!;
		const minUnits =
			holding.spec.kind === 'count'
				? 1
				: holding.totalUnits * minTransferFraction;
		if (ownSurplus < minUnits) {
			return;
		}

		const remaining = this.#returnSurplus(holding, Math.floor(ownSurplus), now);
		const totalSurplus = surplus.reduce((sum, each) => sum + each, 0);
		for (const each of hostDemands) {
			const deficit = toTargetUnits(each) - each.units;
			if (each.peer === undefined || deficit <= 0 || each.peer.isStopping) {
				continue;
			}

			const units = Math.min(
				remaining,
				Math.floor((deficit * ownSurplus) / totalSurplus),
			);
			this.#lend(each.peer, holding, {units}, now);
		}
	}

	#lendOnRequest(
		peer: Peer,
		holding: Holding,
		amount: number,
		now: Milliseconds,
	): void {
		const {spec} = holding;
		const available = holding.getAvailableAmount(now);
		const perSecond = holding.demand.getPerSecond(now);
		if (spec.kind === 'count') {
			// A host with its own demand keeps a quarter of the available slots.
			const reservedSlots = perSecond > 0 ? Math.ceil(available / 4) : 0;
			const idleMinimum =
				perSecond > 0 ? 0 : Math.ceil(available * idleLendingFraction);
			const units = Math.min(
				available - reservedSlots,
				Math.max(amount, idleMinimum),
			);
			this.#lendOrReturn(peer, holding, {units: Math.floor(units)}, now);
			return;
		}

		const reservedTokens = (perSecond * ownDemandReserveDuration) / second;
		const isShortLocally =
			now - holding.demand.lastLoanRequestedAt < recentLoanRequestWindow;
		const spare = isShortLocally
			? available - 1
			: available + 1 - reservedTokens;
		const idleMinimum = perSecond === 0 ? spare * idleLendingFraction : 0;
		const tokensToLend = Math.min(spare, Math.max(amount, idleMinimum));
		if (tokensToLend > 0) {
			const units = Math.ceil(
				(tokensToLend * partsPerToken) / (spec.burst * second),
			);
			this.#lendOrReturn(peer, holding, {units, tokens: tokensToLend}, now);
		}
	}

	/**
	 * Returns borrowed units for their lenders to lend to the peer, then lends
	 * the rest from the root share.
	 */
	#lendOrReturn(
		peer: Peer,
		holding: Holding,
		size: TransferSize,
		now: Milliseconds,
	): void {
		const {units, tokens} = size;
		let remaining = units;
		for (const lender of this.#loans.listLenders()) {
			const borrowed = lender.borrowedUnits.get(holding.spec.id) ?? 0;
			const partUnits = Math.min(
				borrowed,
				holding.getTransferableUnits(now),
				remaining,
			);
			if (partUnits > 0) {
				const slice = {
					units: partUnits,
					tokens: ((tokens ?? 0) * partUnits) / units,
					nextBorrower: peer.name,
				};
				this.#loans.returnSlice(lender, holding, slice, now);
				remaining -= partUnits;
			}
		}

		const remainingTokens =
			tokens === undefined ? undefined : (tokens * remaining) / units;
		this.#lend(peer, holding, {units: remaining, tokens: remainingTokens}, now);
	}

	#lend(
		peer: Peer,
		holding: Holding,
		size: TransferSize,
		now: Milliseconds,
	): void {
		const units = Math.min(
			holding.getUnlentRootUnits(now),
			holding.getTransferableUnits(now),
			size.units,
		);
		if (units > 0 && peer.isLive(now, livenessTimeout)) {
			this.#loans.lend(peer, holding, {...size, units}, now);
		}
	}

	/** Returns borrowed units to their lenders; returns the remaining surplus. */
	#returnSurplus(holding: Holding, surplus: number, now: Milliseconds): number {
		let remaining = surplus;
		for (const lender of this.#loans.listLenders()) {
			remaining -= this.#return(lender, holding, remaining, now);
		}

		return remaining;
	}

	#return(
		lender: Peer,
		holding: Holding,
		maxUnits: number,
		now: Milliseconds,
	): number {
		const units = Math.min(
			lender.borrowedUnits.get(holding.spec.id) ?? 0,
			holding.getTransferableUnits(now),
			maxUnits,
		);
		if (units > 0) {
			this.#loans.returnSlice(lender, holding, {units}, now);
		}

		return Math.max(0, units);
	}

	/** Lists demand and units of this host first, then of live peers. */
	#listHostDemands(
		holding: Holding,
		peers: readonly Peer[],
		now: Milliseconds,
	): HostDemand[] {
		const local: HostDemand = {
			peer: undefined,
			perSecond: holding.demand.getPerSecond(now),
			units: holding.getHeldUnits(now),
		};
		const others = peers
			.filter((peer) => peer.isLive(now, livenessTimeout))
			.map((peer): HostDemand => {
				const demand = peer.demands.get(holding.spec.id);
				const {perSecond = 0, units = 0}: Partial<DemandReport> = demand ?? {};
				return {
					peer,
					perSecond,
					units: units + this.#countInFlightUnits(peer, holding),
				};
			});
		return [local, ...others];
	}

	/**
	 * Counts units in flight to the peer, which its report does not include yet.
	 */
	#countInFlightUnits(peer: Peer, holding: Holding): number {
		let units = 0;
		for (const message of peer.unacknowledgedMessages) {
			if (message.kind === 'loan' && message.budgetId === holding.spec.id) {
				units += message.units;
			}
		}

		return units;
	}
}
