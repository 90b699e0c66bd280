import type {Choice, RoutingRequest} from '@parsleyvale/kernel';
import type {Milliseconds, Shift} from '@parsleyvale/shared';
import type {BudgetAmount} from './budget-amounts.js';
import type {LinkTransfer} from './link-bytes.js';
import type {PoolState} from './pool-state.js';
import type {RegionServers} from './servers/region-servers.js';
import type {ServerState} from './servers/server-state.js';

/** The placement of an attempt, kept until the attempt ends. */
export type Placement = {
	readonly choice: Choice;
	readonly request: RoutingRequest;
	readonly poolState: PoolState;
	readonly regionServers: RegionServers;
	readonly serverState: ServerState;
	/** Network round-trip time to the server. */
	readonly roundTrip: Milliseconds;
	/** The shift that moved the request, if any. */
	readonly shift: Shift | undefined;
	readonly transfer: LinkTransfer;
	/** Slots taken from the capacity budget; returned when the attempt ends. */
	readonly capacityAmounts: readonly BudgetAmount[];
	/** Amounts taken from shift and link budgets; not returned. */
	readonly rateAmounts: readonly BudgetAmount[];
	startedAt: Milliseconds;
};
