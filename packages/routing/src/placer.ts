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
import {takeAll, type BudgetAmount} from './holds.js';
import type {LinkBytes, LinkUse} from './link-bytes.js';
import type {Placement} from './placement.js';
import type {PoolState} from './pool-state.js';
import {toRoomId, type HostRank, type Rooms} from './rooms.js';
import type {RegionWay, RoutingTable} from './routing-table.js';
import type {Safeguards} from './safeguards.js';
import type {Shifts} from './shifts/shifts.js';
import type {Place} from './topology.js';
import {computeWait} from './waiting-cost.js';
import type {Waiters} from './waiters.js';

/** Asked for at once where a single slot would not be enough to be used. */
const sharePerWant = 2;

/** Why one region did not take a request. */
type Obstacle = 'busy' | 'none' | 'too-far';

/** One attempt that looks for a place. */
export type Attempt = {
	readonly request: RoutingRequest;
	readonly pool: PoolState;
	readonly context: Context;
};

export type PlacerOptions = {
	readonly budgets: Budgets;
	readonly table: RoutingTable;
	readonly rooms: Rooms;
	readonly shifts: Shifts;
	readonly waiters: Waiters;
	readonly links: LinkBytes;
	readonly random: Random;
	readonly safeguards: Safeguards;
	readonly ownRegion: RegionName;
};

/** Finds the nearest region with room, and a backend server in it. */
export class Placer {
	/** This host among the live ones. */
	rank: HostRank = {index: 0, count: 1};
	readonly #options: PlacerOptions;

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	/** A place with its budgets taken, or why there is none. */
	choosePlace(attempt: Attempt): Placement | ErrorKind {
		const ways = this.#options.table.listWays(attempt.pool);
		const home = ways[0];
		if (home === undefined) {
			return ErrorKind.NoServer;
		}

		return (
			this.#chooseByShift(attempt, ways, home) ??
			this.#chooseNearest(attempt, ways, home)
		);
	}

	#chooseByShift(
		attempt: Attempt,
		ways: readonly RegionWay[],
		home: RegionWay,
	): Placement | undefined {
		const shift = this.#options.shifts.chooseShift(
			attempt.pool.pool.name,
			home.region.region,
			this.#options.random,
			attempt.context.now,
		);
		const way = ways.find(({region}) => region.region === shift?.to);
		if (way === undefined) {
			return undefined;
		}

		const placed = this.#chooseElsewhere(attempt, way, shift);
		return typeof placed === 'string' ? undefined : placed;
	}

	#chooseNearest(
		attempt: Attempt,
		ways: readonly RegionWay[],
		home: RegionWay,
	): Placement | ErrorKind {
		const obstacles = new Set<Obstacle>();
		for (const way of ways) {
			if (obstacles.has('busy') && this.#isWaitCheaper(attempt, home, way)) {
				break;
			}

			const placed =
				way === home
					? this.#chooseInRegion(attempt, way, undefined)
					: this.#chooseElsewhere(attempt, way, undefined);
			if (typeof placed !== 'string') {
				return placed;
			}

			obstacles.add(placed);
		}

		if (obstacles.has('busy')) {
			return ErrorKind.NoRoom;
		}

		return obstacles.has('too-far')
			? ErrorKind.DeadlineTooShort
			: ErrorKind.NoServer;
	}

	/** In a region that is not the nearest: its own requests go first. */
	#chooseElsewhere(
		attempt: Attempt,
		way: RegionWay,
		shift: Shift | undefined,
	): Placement | Obstacle {
		const {rooms, budgets, safeguards} = this.#options;
		const {now} = attempt.context;
		if (!safeguards.reserve || rooms.hasRoomForOthers(way.region, now)) {
			return this.#chooseInRegion(attempt, way, shift);
		}

		budgets.requestLoan(toRoomId(way.region), sharePerWant, attempt.context);
		return 'busy';
	}

	#chooseInRegion(
		attempt: Attempt,
		way: RegionWay,
		shift: Shift | undefined,
	): Placement | Obstacle {
		const {request, context} = attempt;
		if (isTooFar(attempt, way)) {
			return 'too-far';
		}

		if (
			!this.#options.rooms.hasTrustedRoom(way.region, this.rank, context.now)
		) {
			this.#options.budgets.requestLoan(toRoomId(way.region), 1, context);
			return 'busy';
		}

		const found = way.region.chooseServer(request.avoid, context.now);
		if (found.kind !== 'found') {
			return found.kind;
		}

		const room = this.#options.safeguards.roomBudget
			? [{budgetId: toRoomId(way.region), amount: 1}]
			: [];
		const use: LinkUse = {
			from: this.#options.ownRegion,
			to: way.region.region,
			bodyBytes: request.bodyBytes,
		};
		const rates = this.#listRates(use, shift);
		const taken = takeAll(this.#options.budgets, [...room, ...rates], context);
		if (taken.kind === 'failed') {
			return 'busy';
		}

		this.#options.links.onTaken(use, rates);
		return {
			choice: {server: found.state.server, held: [...room, ...rates]},
			request,
			pool: attempt.pool,
			region: way.region,
			state: found.state,
			roundTrip: this.#findRoundTrip(way, found.state.server),
			shift,
			use,
			room,
			rates,
			startedAt: context.now,
		};
	}

	#findRoundTrip(way: RegionWay, server: Place): Milliseconds {
		return (
			this.#options.table.topology?.findRoundTrip(
				this.#options.table.place,
				server,
			) ?? way.roundTrip
		);
	}

	#listRates(use: LinkUse, shift: Shift | undefined): BudgetAmount[] {
		const {links, safeguards} = this.#options;
		const bytes = links.toAmounts(use);
		return shift !== undefined && safeguards.shiftBudget
			? [{budgetId: toShiftBudgetId(shift.name), amount: 1}, ...bytes]
			: bytes;
	}

	/** Whether waiting for the nearest region costs less than the way on. */
	#isWaitCheaper(attempt: Attempt, home: RegionWay, way: RegionWay): boolean {
		const {request, pool, context} = attempt;
		const wait = computeWait(
			home.region,
			this.#options.waiters.count(pool.pool.name),
			context.now,
		);
		const waited = this.#options.waiters.getWaited(
			request.requestId,
			context.now,
		);
		return wait !== undefined && wait + waited < way.roundTrip - home.roundTrip;
	}
}

/** Whether way and typical service time do not fit before the deadline. */
function isTooFar(attempt: Attempt, way: RegionWay): boolean {
	const {request, pool, context} = attempt;
	const serviceTime = pool.getServiceTime(way.region, context.now);
	return context.now + way.roundTrip + serviceTime > request.deadline;
}
