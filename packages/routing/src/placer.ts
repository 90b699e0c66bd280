import {
	toShiftBudgetId,
	type Budgets,
	type Context,
	type RoutingRequest,
} from '@parsleyvale/kernel';
import {
	ErrorKind,
	type Milliseconds,
	type RegionName,
	type Shift,
} from '@parsleyvale/shared';
import type {Random} from './choosers/chooser.js';
import {takeAll, type BudgetAmount} from './budget-amounts.js';
import type {LinkBytes, LinkTransfer} from './link-bytes.js';
import type {Placement} from './placement.js';
import type {PoolState} from './pool-state.js';
import {
	toCapacityBudgetId,
	type HostRank,
	type CapacityBudgets,
} from './capacity-budgets.js';
import type {Destination, RoutingTable} from './routing-table.js';
import type {Safeguards} from './safeguards.js';
import type {Shifts} from './shifts/shifts.js';
import type {Location} from './topology.js';
import {estimateWaitTime} from './wait-time.js';
import type {WaitingRequests} from './waiting-requests.js';

/**
 * Slots to borrow for a request from another region: two, as one slot may be kept
 * for the region's own requests.
 */
const remoteLoanAmount = 2;

/**
 * Why a region was skipped for an attempt: `busy`: it has no capacity at present;
 * `none`: no server is eligible; `too-far`: its answer would miss the deadline.
 */
type SkipReason = 'busy' | 'none' | 'too-far';

/** An attempt to be placed on a backend server. */
export type Attempt = {
	readonly request: RoutingRequest;
	readonly poolState: PoolState;
	readonly context: Context;
};

export type PlacerOptions = {
	readonly budgets: Budgets;
	readonly table: RoutingTable;
	readonly capacityBudgets: CapacityBudgets;
	readonly shifts: Shifts;
	readonly waitingRequests: WaitingRequests;
	readonly links: LinkBytes;
	readonly random: Random;
	readonly safeguards: Safeguards;
	readonly ownRegion: RegionName;
};

/** Selects the nearest region with free capacity and a backend server in it. */
export class Placer {
	/** Rank of this host among the live entry hosts. */
	hostRank: HostRank = {index: 0, count: 1};
	readonly #options: PlacerOptions;

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/**
	 * Returns a placement with its budgets taken, or the error kind on failure.
	 */
	choosePlacement(attempt: Attempt): Placement | ErrorKind {
		const destinations = this.#options.table.listDestinations(
			attempt.poolState,
		);
		const nearest = destinations[0];
		if (nearest === undefined) {
			return ErrorKind.NoServer;
		}

		return (
			this.#chooseByShift(attempt, destinations, nearest) ??
			this.#chooseNearest(attempt, destinations, nearest)
		);
	}

	#chooseByShift(
		attempt: Attempt,
		destinations: readonly Destination[],
		nearest: Destination,
	): Placement | undefined {
		const shift = this.#options.shifts.chooseShift(
			attempt.poolState.pool.name,
			nearest.regionServers.region,
			this.#options.random,
			attempt.context.now,
		);
		const destination = destinations.find(
			({regionServers}) => regionServers.region === shift?.to,
		);
		if (destination === undefined) {
			return undefined;
		}

		const result = this.#chooseInRemoteRegion(attempt, destination, shift);
		return typeof result === 'string' ? undefined : result;
	}

	#chooseNearest(
		attempt: Attempt,
		destinations: readonly Destination[],
		nearest: Destination,
	): Placement | ErrorKind {
		const skipReasons = new Set<SkipReason>();
		for (const destination of destinations) {
			if (
				skipReasons.has('busy') &&
				this.#isWaitShorter(attempt, nearest, destination)
			) {
				break;
			}

			const result =
				destination === nearest
					? this.#chooseInRegion(attempt, destination, undefined)
					: this.#chooseInRemoteRegion(attempt, destination, undefined);
			if (typeof result !== 'string') {
				return result;
			}

			skipReasons.add(result);
		}

		if (skipReasons.has('busy')) {
			return ErrorKind.NoRoom;
		}

		return skipReasons.has('too-far')
			? ErrorKind.DeadlineTooShort
			: ErrorKind.NoServer;
	}

	/**
	 * Places an attempt in a remote region, within the capacity that the region does
	 * not reserve for its own requests.
	 */
	#chooseInRemoteRegion(
		attempt: Attempt,
		destination: Destination,
		shift: Shift | undefined,
	): Placement | SkipReason {
		const {capacityBudgets, budgets, safeguards} = this.#options;
		const {now} = attempt.context;
		if (
			!safeguards.reserveCapacity ||
			capacityBudgets.hasCapacityForRemote(destination.regionServers, now)
		) {
			return this.#chooseInRegion(attempt, destination, shift);
		}

		budgets.requestLoan(
			toCapacityBudgetId(destination.regionServers),
			remoteLoanAmount,
			attempt.context,
		);
		return 'busy';
	}

	#chooseInRegion(
		attempt: Attempt,
		destination: Destination,
		shift: Shift | undefined,
	): Placement | SkipReason {
		const {request, context} = attempt;
		if (isDeadlineTooShort(attempt, destination)) {
			return 'too-far';
		}

		if (
			!this.#options.capacityBudgets.hasNonEjectedCapacity(
				destination.regionServers,
				this.hostRank,
				context.now,
			)
		) {
			this.#options.budgets.requestLoan(
				toCapacityBudgetId(destination.regionServers),
				1,
				context,
			);
			return 'busy';
		}

		const found = destination.regionServers.chooseServer(
			request.triedServers,
			context.now,
		);
		if (found.kind !== 'found') {
			return found.kind;
		}

		const capacityAmounts = this.#options.safeguards.takeCapacity
			? [{budgetId: toCapacityBudgetId(destination.regionServers), amount: 1}]
			: [];
		const transfer: LinkTransfer = {
			from: this.#options.ownRegion,
			to: destination.regionServers.region,
			bodyBytes: request.bodyBytes,
		};
		const rateAmounts = this.#listRateAmounts(transfer, shift);
		const taken = takeAll(
			this.#options.budgets,
			[...capacityAmounts, ...rateAmounts],
			context,
		);
		if (taken.kind === 'failed') {
			return 'busy';
		}

		this.#options.links.onTaken(transfer, rateAmounts);
		return {
			choice: {
				server: found.state.server,
				heldAmounts: [...capacityAmounts, ...rateAmounts],
			},
			request,
			poolState: attempt.poolState,
			regionServers: destination.regionServers,
			serverState: found.state,
			roundTrip: this.#findRoundTrip(destination, found.state.server),
			shift,
			transfer,
			capacityAmounts,
			rateAmounts,
			startedAt: context.now,
		};
	}

	#findRoundTrip(destination: Destination, server: Location): Milliseconds {
		return (
			this.#options.table.topology?.findRoundTrip(
				this.#options.table.location,
				server,
			) ?? destination.roundTrip
		);
	}

	#listRateAmounts(
		transfer: LinkTransfer,
		shift: Shift | undefined,
	): BudgetAmount[] {
		const {links, safeguards} = this.#options;
		const byteAmounts = links.computeAmounts(transfer);
		return shift !== undefined && safeguards.takeShiftBudget
			? [{budgetId: toShiftBudgetId(shift.name), amount: 1}, ...byteAmounts]
			: byteAmounts;
	}

	/**
	 * Whether waiting for capacity in the nearest region takes less time than the
	 * longer round trip to the destination adds.
	 */
	#isWaitShorter(
		attempt: Attempt,
		nearest: Destination,
		destination: Destination,
	): boolean {
		const {request, poolState, context} = attempt;
		const expectedWaitTime = estimateWaitTime(
			nearest.regionServers,
			this.#options.waitingRequests.count(poolState.pool.name),
			context.now,
		);
		const elapsedWaitTime = this.#options.waitingRequests.getWaitTime(
			request.requestId,
			context.now,
		);
		return (
			expectedWaitTime !== undefined &&
			expectedWaitTime + elapsedWaitTime <
				destination.roundTrip - nearest.roundTrip
		);
	}
}

/** Whether the round trip and the typical service time exceed the deadline. */
function isDeadlineTooShort(
	attempt: Attempt,
	destination: Destination,
): boolean {
	const {request, poolState, context} = attempt;
	const serviceTime = poolState.getServiceTime(
		destination.regionServers,
		context.now,
	);
	return context.now + destination.roundTrip + serviceTime > request.deadline;
}
