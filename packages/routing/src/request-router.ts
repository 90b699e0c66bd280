import {
	Router,
	type Budgets,
	type Choice,
	type Context,
	type AttemptResult,
	type RoutingRequest,
} from '@parsleyvale/kernel';
import {ErrorKind, type Route} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {releaseAll} from './budget-amounts.js';
import type {LinkBytes} from './link-bytes.js';
import {applyResult, assessResult} from './outcomes.js';
import type {Placement} from './placement.js';
import type {Placer} from './placer.js';
import {
	countChoice,
	countRefusal,
	emitEjection,
	emitResult,
} from './routing-metrics.js';
import type {RoutingTable} from './routing-table.js';
import type {Safeguards} from './safeguards.js';
import {updateEjection} from './servers/ejection.js';
import type {Shifts} from './shifts/shifts.js';
import type {WaitingRequests} from './waiting-requests.js';

export type RequestRouterOptions = {
	readonly budgets: Budgets;
	readonly table: RoutingTable;
	readonly placer: Placer;
	readonly shifts: Shifts;
	readonly waitingRequests: WaitingRequests;
	readonly links: LinkBytes;
	readonly safeguards: Safeguards;
};

/** Places attempts and updates server statistics from their outcomes. */
export class RequestRouter extends Router {
	readonly #options: RequestRouterOptions;
	readonly #placements = new Map<Choice, Placement>();

	constructor(options: RequestRouterOptions) {
		super();
		this.#options = options;
	}

	/** Number of attempts that were placed and have not ended. */
	get inFlight(): number {
		return this.#placements.size;
	}

	chooseServer(
		request: RoutingRequest,
		context: Context,
	): Result<Choice, ErrorKind> {
		const poolState = this.#options.table.pools.get(request.route.pool);
		const result =
			poolState === undefined
				? ErrorKind.NoServer
				: this.#options.placer.choosePlacement({
						request,
						poolState,
						context,
					});
		if (typeof result === 'string') {
			this.#onRefused(request, result, context);
			return Result.err(result);
		}

		this.#onPlaced(result, context);
		return Result.ok(result.choice);
	}

	startAttempt(choice: Choice, context: Context): void {
		const placement = this.#placements.get(choice);
		if (placement !== undefined) {
			placement.startedAt = context.now;
		}
	}

	endAttempt(choice: Choice, result: AttemptResult, context: Context): void {
		const placement = this.#placements.get(choice);
		if (placement === undefined) {
			return;
		}

		if (this.#options.safeguards.endOnce) {
			this.#placements.delete(choice);
		}

		this.#release(placement, result, context);
		this.#applyResult(placement, result, context);
		if (
			this.#options.waitingRequests.count(placement.poolState.pool.name) > 0
		) {
			context.raise({
				type: 'room-changed',
				pool: placement.poolState.pool.name,
			});
		}
	}

	takeRetry(route: Route, context: Context): boolean {
		const poolState = this.#options.table.pools.get(route.pool);
		const isAllowed =
			!this.#options.safeguards.limitRetries ||
			(poolState?.retryBudget.take() ?? false);
		context.emit({
			type: 'count',
			name: 'routing_retries_total',
			labels: {pool: route.pool, outcome: isAllowed ? 'allowed' : 'refused'},
			by: 1,
		});
		return isAllowed;
	}

	#onRefused(request: RoutingRequest, kind: ErrorKind, context: Context): void {
		if (kind === ErrorKind.NoRoom) {
			this.#options.waitingRequests.add(request.requestId, {
				pool: request.route.pool,
				since: context.now,
				deadline: request.deadline,
			});
		}

		countRefusal(request, kind, context);
	}

	#onPlaced(placement: Placement, context: Context): void {
		const {request, poolState, regionServers, serverState, choice} = placement;
		this.#placements.set(choice, placement);
		this.#options.waitingRequests.remove(request.requestId);
		regionServers.onStarted(serverState, context.now);
		if (request.triedServers.length === 0) {
			poolState.retryBudget.onFirstAttempt();
		}

		countChoice(placement, context);
	}

	#release(
		placement: Placement,
		result: AttemptResult,
		context: Context,
	): void {
		const {regionServers, serverState} = placement;
		regionServers.onEnded(serverState);
		releaseAll(this.#options.budgets, placement.capacityAmounts, context.now);
		if (
			!this.#options.safeguards.keepRateTokens &&
			result.outcome === 'not-sent'
		) {
			releaseAll(this.#options.budgets, placement.rateAmounts, context.now);
		}

		this.#options.links.onEnded(placement.transfer, result.bytes);
	}

	#applyResult(
		placement: Placement,
		result: AttemptResult,
		context: Context,
	): void {
		const {poolState, regionServers, serverState} = placement;
		const assessment = assessResult(placement, result, context.now);
		applyResult(placement, result, assessment, context.now);
		if (!assessment.isInconclusive) {
			this.#options.shifts.onOutcome(
				poolState.pool.name,
				regionServers.region,
				assessment.isFailure,
				assessment.serviceTime,
			);
		}

		emitEjection(
			placement,
			updateEjection(regionServers, serverState, context.now),
			context,
		);
		emitResult(placement, result, assessment.serviceTime, context);
	}
}
