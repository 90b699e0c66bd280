import {
	Router,
	toShiftBudgetId,
	type Budgets,
	type Choice,
	type Context,
	type Ending,
	type RoutingRequest,
} from '@parsleyvale/kernel';
import {ErrorKind, type Route, type Shift} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {Random} from './choosers/chooser.js';
import {giveBackAll, takeAll, type BudgetAmount} from './holds.js';
import {LinkBytes} from './link-bytes.js';
import {applyEnding, identifyVerdict} from './outcomes.js';
import type {Placement} from './placement.js';
import type {PoolState} from './pool-state.js';
import {toRoomId, type HostRank, type Rooms} from './rooms.js';
import type {RegionWay, RoutingTable} from './routing-table.js';
import {
	countChoice,
	countRefusal,
	emitEjection,
	emitEnding,
} from './routing-metrics.js';
import type {Safeguards} from './safeguards.js';
import {checkEjection} from './servers/ejection.js';
import type {Shifts} from './shifts/shifts.js';
import {computeWait} from './waiting-cost.js';
import type {Waiters} from './waiters.js';

/** Why one region did not take a request. */
type Obstacle = 'busy' | 'none' | 'too-far';

type Attempt = {
	readonly request: RoutingRequest;
	readonly pool: PoolState;
	readonly context: Context;
};

/** The router: nearest region with room, then a server in it. */
export class RequestRouter extends Router {
	/** This host among the live ones. */
	rank: HostRank = {index: 0, count: 1};
	readonly #budgets: Budgets;
	readonly #table: RoutingTable;
	readonly #rooms: Rooms;
	readonly #shifts: Shifts;
	readonly #waiters: Waiters;
	readonly #random: Random;
	readonly #safeguards: Safeguards;
	readonly #ownRegion: string;
	readonly #links = new LinkBytes();
	readonly #placements = new Map<Choice, Placement>();

	constructor(options: {
		readonly budgets: Budgets;
		readonly table: RoutingTable;
		readonly rooms: Rooms;
		readonly shifts: Shifts;
		readonly waiters: Waiters;
		readonly random: Random;
		readonly safeguards: Safeguards;
		readonly ownRegion: string;
	}) {
		super();
		this.#budgets = options.budgets;
		this.#table = options.table;
		this.#rooms = options.rooms;
		this.#shifts = options.shifts;
		this.#waiters = options.waiters;
		this.#random = options.random;
		this.#safeguards = options.safeguards;
		this.#ownRegion = options.ownRegion;
	}

	/** Attempts that are placed and not yet over. */
	get running(): number {
		return this.#placements.size;
	}

	choose(request: RoutingRequest, context: Context): Result<Choice, ErrorKind> {
		const pool = this.#table.pools.get(request.route.pool);
		const result =
			pool === undefined
				? ErrorKind.NoServer
				: this.#chooseInPool({request, pool, context});
		if (typeof result === 'string') {
			this.#onRefused(request, result, context);
			return Result.err(result);
		}

		this.#onPlaced(result, context);
		return Result.ok(result.choice);
	}

	start(choice: Choice, context: Context): void {
		const placement = this.#placements.get(choice);
		if (placement !== undefined) {
			placement.startedAt = context.now;
		}
	}

	end(choice: Choice, ending: Ending, context: Context): void {
		const placement = this.#placements.get(choice);
		if (placement === undefined) {
			return;
		}

		if (this.#safeguards.endOnce) {
			this.#placements.delete(choice);
		}

		this.#release(placement, ending, context);
		this.#applyOutcome(placement, ending, context);
		if (this.#waiters.count(placement.pool.pool.name) > 0) {
			context.raise({type: 'room-changed', pool: placement.pool.pool.name});
		}
	}

	takeRetry(route: Route, context: Context): boolean {
		const pool = this.#table.pools.get(route.pool);
		const isAllowed =
			!this.#safeguards.retryBudget || (pool?.retryBudget.take() ?? false);
		context.emit({
			type: 'count',
			name: 'routing_retries_total',
			labels: {pool: route.pool, outcome: isAllowed ? 'allowed' : 'refused'},
			by: 1,
		});
		return isAllowed;
	}

	#chooseInPool(attempt: Attempt): Placement | ErrorKind {
		const ways = this.#table.listWays(attempt.pool);
		const home = ways[0];
		if (home === undefined) {
			return ErrorKind.NoServer;
		}

		return (
			this.#placeByShift(attempt, ways, home) ??
			this.#placeNearest(attempt, ways, home)
		);
	}

	#placeByShift(
		attempt: Attempt,
		ways: readonly RegionWay[],
		home: RegionWay,
	): Placement | undefined {
		const shift = this.#shifts.chooseShift(
			attempt.pool.pool.name,
			home.region.region,
			this.#random,
			attempt.context.now,
		);
		const way = ways.find(({region}) => region.region === shift?.to);
		if (way === undefined) {
			return undefined;
		}

		const placed = this.#placeInRegion(attempt, way, shift);
		return typeof placed === 'string' ? undefined : placed;
	}

	#placeNearest(
		attempt: Attempt,
		ways: readonly RegionWay[],
		home: RegionWay,
	): Placement | ErrorKind {
		const obstacles = new Set<Obstacle>();
		for (const way of ways) {
			if (obstacles.has('busy') && this.#isWaitCheaper(attempt, home, way)) {
				break;
			}

			const placed = this.#placeInRegion(attempt, way, undefined);
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

	#placeInRegion(
		attempt: Attempt,
		way: RegionWay,
		shift: Shift | undefined,
	): Placement | Obstacle {
		const {request, context} = attempt;
		if (isTooFar(request, way, context)) {
			return 'too-far';
		}

		if (!this.#rooms.hasTrustedRoom(way.region, this.rank, context.now)) {
			this.#budgets.want(toRoomId(way.region), 1, context);
			return 'busy';
		}

		const found = way.region.chooseServer(request.avoid, context.now);
		if (found.kind !== 'found') {
			return found.kind;
		}

		const room = this.#safeguards.roomBudget
			? [{budgetId: toRoomId(way.region), amount: 1}]
			: [];
		const rates = this.#listRates(request, way, shift);
		const taken = takeAll(this.#budgets, [...room, ...rates], context);
		if (taken.kind === 'failed') {
			return 'busy';
		}

		this.#links.onTaken(rates);
		return {
			choice: {server: found.state.server, held: [...room, ...rates]},
			request,
			pool: attempt.pool,
			region: way.region,
			state: found.state,
			roundTrip: this.#findRoundTrip(way, found.state.server),
			shift,
			room,
			rates,
			startedAt: context.now,
		};
	}

	#findRoundTrip(
		way: RegionWay,
		server: {readonly region: string; readonly failureDomain: string},
	): number {
		return (
			this.#table.topology?.findRoundTrip(this.#table.place, server) ??
			way.roundTrip
		);
	}

	#listRates(
		request: RoutingRequest,
		way: RegionWay,
		shift: Shift | undefined,
	): BudgetAmount[] {
		const bytes = this.#links.toAmounts(
			this.#ownRegion,
			way.region.region,
			request.bodyBytes,
		);
		return shift !== undefined && this.#safeguards.shiftBudget
			? [{budgetId: toShiftBudgetId(shift.name), amount: 1}, ...bytes]
			: bytes;
	}

	/** Whether waiting for the nearest region costs less than the way on. */
	#isWaitCheaper(attempt: Attempt, home: RegionWay, way: RegionWay): boolean {
		const {request, pool, context} = attempt;
		const wait = computeWait(
			home.region,
			this.#waiters.count(pool.pool.name),
			context.now,
		);
		const waited = this.#waiters.getWaited(request.requestId, context.now);
		return wait !== undefined && wait + waited < way.roundTrip - home.roundTrip;
	}

	#onRefused(request: RoutingRequest, kind: ErrorKind, context: Context): void {
		if (kind === ErrorKind.NoRoom) {
			this.#waiters.add(request.requestId, {
				pool: request.route.pool,
				since: context.now,
				deadline: request.deadline,
			});
		}

		countRefusal(request, kind, context);
	}

	#onPlaced(placement: Placement, context: Context): void {
		const {request, pool, region, state, choice} = placement;
		this.#placements.set(choice, placement);
		this.#waiters.remove(request.requestId);
		region.onStarted(state);
		if (request.avoid.length === 0) {
			pool.retryBudget.onFirstAttempt();
		}

		countChoice(placement, context);
	}

	#release(placement: Placement, ending: Ending, context: Context): void {
		const {region, state, request} = placement;
		region.onEnded(state);
		giveBackAll(this.#budgets, placement.room, context.now);
		if (ending.outcome === 'not-sent') {
			giveBackAll(this.#budgets, placement.rates, context.now);
			return;
		}

		this.#links.onEnded(
			this.#ownRegion,
			region.region,
			request.bodyBytes,
			ending.bytes,
		);
	}

	#applyOutcome(placement: Placement, ending: Ending, context: Context): void {
		const {pool, region, state} = placement;
		const verdict = identifyVerdict(placement, ending, context.now);
		applyEnding(placement, ending, verdict, context.now);
		if (!verdict.isNeutral) {
			this.#shifts.onOutcome(
				pool.pool.name,
				region.region,
				verdict.isFailure,
				verdict.serviceTime,
			);
		}

		emitEjection(placement, checkEjection(region, state, context.now), context);
		emitEnding(placement, ending, verdict.serviceTime, context);
	}
}

/** Whether way and typical service time do not fit before the deadline. */
function isTooFar(
	request: RoutingRequest,
	way: RegionWay,
	context: Context,
): boolean {
	const serviceTime = way.region.serviceTime.get(context.now) ?? 0;
	return context.now + way.roundTrip + serviceTime > request.deadline;
}
