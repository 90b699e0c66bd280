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
 * Slots to borrow for a request from another region. A single borrowed slot
 * would fall under the region's reserved capacity and remain unusable.
 */
const remoteLoanAmount = 2;

/** Why a region was skipped for an attempt. */
type SkipReason = 'busy' | 'none' | 'too-far';

/** An attempt to be placed on a backend server. */
export type Attempt = {
	readonly request: RoutingRequest;
	readonly pool: PoolState;
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
	rank: HostRank = {index: 0, count: 1};
	readonly #options: PlacerOptions;

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/**
	 * Returns a placement with its budgets taken, or the error kind on failure.
	 */
	choosePlacement(attempt: Attempt): Placement | ErrorKind {
		const destinations = this.#options.table.listDestinations(attempt.pool);
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
			attempt.pool.pool.name,
			nearest.region.region,
			this.#options.random,
			attempt.context.now,
		);
		const destination = destinations.find(
			({region}) => region.region === shift?.to,
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
				this.#isWaitCheaper(attempt, nearest, destination)
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
	 * Places an attempt in a remote region, which reserves capacity for its own
	 * requests.
	 */
	#chooseInRemoteRegion(
		attempt: Attempt,
		destination: Destination,
		shift: Shift | undefined,
	): Placement | SkipReason {
		const {capacityBudgets, budgets, safeguards} = this.#options;
		const {now} = attempt.context;
		if (
			!safeguards.reservedCapacity ||
			capacityBudgets.hasCapacityForRemote(destination.region, now)
		) {
			return this.#chooseInRegion(attempt, destination, shift);
		}

		budgets.requestLoan(
			toCapacityBudgetId(destination.region),
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
			!this.#options.capacityBudgets.hasTrustedCapacity(
				destination.region,
				this.rank,
				context.now,
			)
		) {
			this.#options.budgets.requestLoan(
				toCapacityBudgetId(destination.region),
				1,
				context,
			);
			return 'busy';
		}

		const found = destination.region.chooseServer(
			request.excludedServers,
			context.now,
		);
		if (found.kind !== 'found') {
			return found.kind;
		}

		const capacityAmounts = this.#options.safeguards.roomBudget
			? [{budgetId: toCapacityBudgetId(destination.region), amount: 1}]
			: [];
		const transfer: LinkTransfer = {
			from: this.#options.ownRegion,
			to: destination.region.region,
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
			pool: attempt.pool,
			region: destination.region,
			state: found.state,
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
		return shift !== undefined && safeguards.shiftBudget
			? [{budgetId: toShiftBudgetId(shift.name), amount: 1}, ...byteAmounts]
			: byteAmounts;
	}

	/**
	 * Whether waiting for the nearest region takes less time than the longer
	 * round trip.
	 */
	#isWaitCheaper(
		attempt: Attempt,
		nearest: Destination,
		destination: Destination,
	): boolean {
		const {request, pool, context} = attempt;
		const expectedWait = estimateWaitTime(
			nearest.region,
			this.#options.waitingRequests.count(pool.pool.name),
			context.now,
		);
		const elapsedWait = this.#options.waitingRequests.getWaitTime(
			request.requestId,
			context.now,
		);
		return (
			expectedWait !== undefined &&
			expectedWait + elapsedWait < destination.roundTrip - nearest.roundTrip
		);
	}
}

/** Whether the round trip and the typical service time exceed the deadline. */
function isDeadlineTooShort(
	attempt: Attempt,
	destination: Destination,
): boolean {
	const {request, pool, context} = attempt;
	const serviceTime = pool.getServiceTime(destination.region, context.now);
	return context.now + destination.roundTrip + serviceTime > request.deadline;
}
