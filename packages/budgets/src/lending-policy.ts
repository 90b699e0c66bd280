import {second, type Milliseconds} from '@parsleyvale/shared';
import type {Holding} from './holding.js';
import type {Holdings} from './holdings.js';
import type {LoanBook} from './loan-book.js';
import type {ReportedDemand, ReturnItem, Want} from './messages.js';
import type {Peer} from './peer.js';
import {guarantorSilence, wantMemory} from './timing.js';
import {partsPerToken} from './units.js';

/** What a host with demand of its own keeps back, as time at that demand. */
const keptDemand: Milliseconds = 50;

/** Part of what is free that a host without demand lends at the least. */
const idlePart = 1 / 4;

/** Part of a budget that hosts without demand keep between them. */
const restingPart = 0.02;

/** Differences below this part of a budget are not worth a transfer. */
const smallestMove = 1 / 50;

type Standing = {
	readonly peer: Peer | undefined;
	readonly perSecond: number;
	readonly units: number;
};

/** Decides how much moves where; the book does the moving. */
export class LendingPolicy {
	readonly #book: LoanBook;
	readonly #holdings: Holdings;

	constructor(book: LoanBook, holdings: Holdings) {
		this.#book = book;
		this.#holdings = holdings;
	}

	/** Serves a peer that cannot take what it needs. */
	onWant(peer: Peer, want: Want, now: Milliseconds): void {
		const holding = this.#holdings.find(want.budgetId);
		if (holding !== undefined && !peer.isStopping) {
			this.#serve(peer, holding, want.amount, now);
		}
	}

	/** Lends what came back to the host that it came back for. */
	onReturned(
		item: ReturnItem,
		peers: readonly Peer[],
		now: Milliseconds,
	): void {
		const holding = this.#holdings.find(item.budgetId);
		const peer = peers.find(({name}) => name === item.beneficiary);
		if (holding !== undefined && peer !== undefined && !peer.isStopping) {
			const amount = item.parts / partsPerToken;
			this.#lend(peer, holding, item.units, amount, now);
		}
	}

	/** Returns all that can be returned to one lender, or to all. */
	returnAll(lender: Peer | undefined, now: Milliseconds): void {
		const lenders = lender === undefined ? this.#book.listLenders() : [lender];
		for (const peer of lenders) {
			for (const budgetId of peer.borrowed.keys()) {
				const holding = this.#holdings.find(budgetId);
				if (holding !== undefined) {
					this.#return(peer, holding, Number.MAX_SAFE_INTEGER, now);
				}
			}
		}
	}

	/** Moves surplus of one budget to where its demand is. */
	balance(holding: Holding, peers: readonly Peer[], now: Milliseconds): void {
		const standings = this.#listStandings(holding, peers, now);
		const total = standings.reduce((sum, each) => sum + each.perSecond, 0);
		if (total === 0) {
			return;
		}

		const toTarget = (each: Standing) =>
			holding.wholeUnits *
			((1 - restingPart) * (each.perSecond / total) +
				restingPart / standings.length);
		const surplus = standings.map((each) =>
			Math.max(0, each.units - toTarget(each)),
		);
		const surplusHere = surplus[0]!;
		const smallest =
			holding.spec.kind === 'count' ? 1 : holding.wholeUnits * smallestMove;
		if (surplusHere < smallest) {
			return;
		}

		const left = this.#returnSurplus(holding, Math.floor(surplusHere), now);
		const surplusOfAll = surplus.reduce((sum, each) => sum + each, 0);
		for (const each of standings) {
			const deficit = toTarget(each) - each.units;
			if (each.peer === undefined || deficit <= 0 || each.peer.isStopping) {
				continue;
			}

			const units = Math.min(
				left,
				Math.floor((deficit * surplusHere) / surplusOfAll),
			);
			this.#lend(each.peer, holding, units, undefined, now);
		}
	}

	#serve(
		peer: Peer,
		holding: Holding,
		amount: number,
		now: Milliseconds,
	): void {
		const {spec} = holding;
		const available = holding.getAvailable(now);
		const perSecond = holding.demand.getPerSecond(now);
		if (spec.kind === 'count') {
			const kept = perSecond > 0 ? Math.ceil(available / 4) : 0;
			const idle = perSecond > 0 ? 0 : Math.ceil(available * idlePart);
			const units = Math.min(available - kept, Math.max(amount, idle));
			this.#give(peer, holding, Math.floor(units), undefined, now);
			return;
		}

		const kept = (perSecond * keptDemand) / second;
		const isShortHere = now - holding.demand.wantedAt < wantMemory;
		const spare = isShortHere ? available - 1 : available + 1 - kept;
		const idle = perSecond === 0 ? spare * idlePart : 0;
		const given = Math.min(spare, Math.max(amount, idle));
		if (given > 0) {
			const units = Math.ceil((given * partsPerToken) / (spec.burst * second));
			this.#give(peer, holding, units, given, now);
		}
	}

	/** Lends of the root share, then returns so that its lender lends on. */
	#give(
		peer: Peer,
		holding: Holding,
		units: number,
		amount: number | undefined,
		now: Milliseconds,
	): void {
		let left = units;
		for (const lender of this.#book.listLenders()) {
			const borrowed = lender.borrowed.get(holding.spec.id) ?? 0;
			const part = Math.min(borrowed, holding.getFreeUnits(now), left);
			if (part > 0 && left > 0) {
				const wanted = {
					amount: ((amount ?? 0) * part) / units,
					beneficiary: peer.name,
				};
				this.#book.returnSlice(lender, holding, part, now, wanted);
				left -= part;
			}
		}

		const rest = amount === undefined ? undefined : (amount * left) / units;
		this.#lend(peer, holding, left, rest, now);
	}

	#lend(
		peer: Peer,
		holding: Holding,
		units: number,
		wantedAmount: number | undefined,
		now: Milliseconds,
	): void {
		const most = Math.min(
			holding.getRootUnits(now),
			holding.getFreeUnits(now),
			units,
		);
		if (most > 0 && peer.isHeard(now, guarantorSilence)) {
			this.#book.lend(peer, holding, most, wantedAmount, now);
		}
	}

	/** Gives borrowed units back first; the rest of the surplus is left. */
	#returnSurplus(holding: Holding, surplus: number, now: Milliseconds): number {
		let left = surplus;
		for (const lender of this.#book.listLenders()) {
			left -= this.#return(lender, holding, left, now);
		}

		return left;
	}

	#return(
		lender: Peer,
		holding: Holding,
		most: number,
		now: Milliseconds,
	): number {
		const units = Math.min(
			lender.borrowed.get(holding.spec.id) ?? 0,
			holding.getFreeUnits(now),
			most,
		);
		if (units > 0) {
			this.#book.returnSlice(lender, holding, units, now);
		}

		return Math.max(0, units);
	}

	/** This host first, then live peers, each with demand and units. */
	#listStandings(
		holding: Holding,
		peers: readonly Peer[],
		now: Milliseconds,
	): Standing[] {
		const own: Standing = {
			peer: undefined,
			perSecond: holding.demand.getPerSecond(now),
			units: holding.getUnits(now),
		};
		const others = peers
			.filter((peer) => peer.isHeard(now, guarantorSilence))
			.map((peer): Standing => {
				const demand = peer.demands.get(holding.spec.id);
				const {perSecond = 0, units = 0}: Partial<ReportedDemand> =
					demand ?? {};
				return {peer, perSecond, units: units + this.#countSent(peer, holding)};
			});
		return [own, ...others];
	}

	/** Units on their way to the peer, which its report does not show yet. */
	#countSent(peer: Peer, holding: Holding): number {
		let units = 0;
		for (const item of peer.unacknowledged) {
			if (item.kind === 'loan' && item.budgetId === holding.spec.id) {
				units += item.units;
			}
		}

		return units;
	}
}
