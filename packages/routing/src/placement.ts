import type {Choice, RoutingRequest} from '@parsleyvale/kernel';
import type {Milliseconds, Shift} from '@parsleyvale/shared';
import type {BudgetAmount} from './holds.js';
import type {LinkUse} from './link-bytes.js';
import type {PoolState} from './pool-state.js';
import type {RegionServers} from './servers/region-servers.js';
import type {ServerState} from './servers/server-state.js';

/** One attempt's place, from the choice until its end. */
export type Placement = {
	readonly choice: Choice;
	readonly request: RoutingRequest;
	readonly pool: PoolState;
	readonly region: RegionServers;
	readonly state: ServerState;
	/** There and back. */
	readonly roundTrip: Milliseconds;
	/** The shift that moved the request. */
	readonly shift: Shift | undefined;
	readonly use: LinkUse;
	/** Comes back when the attempt ends. */
	readonly room: readonly BudgetAmount[];
	/** Shift and link budgets; they stay taken. */
	readonly rates: readonly BudgetAmount[];
	startedAt: Milliseconds;
};
