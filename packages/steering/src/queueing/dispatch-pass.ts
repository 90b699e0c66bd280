import type {Milliseconds} from '@parsleyvale/shared';
import type {LiveRequest} from '../admission/live-request.js';
import type {ServerState} from '../servers/server-state.js';
import type {FairOrder} from './fair-order.js';

/** Requests of one priority and pool that may find no server before the rest is skipped: at the end of an attempt, and on a tick. */
const maximumFailuresAtEnd = 4;
const maximumFailuresOnTick = 24;

export type DispatchPassOptions = {
	readonly now: Milliseconds;
	readonly order: FairOrder;
	/** The server at which an attempt has ended; undefined: this is a tick. */
	readonly freed: ServerState | undefined;
};

/**
 * Limits the work of one pass over the waiting requests. Besides the first of each
 * priority, it tries those that the freed server has cached the object for, which
 * would otherwise leave its slot empty.
 */
export class DispatchPass {
	readonly #options: DispatchPassOptions;
	readonly #failures = new Map<string, number>();

	constructor(options: DispatchPassOptions) {
		this.#options = options;
	}

	/** Whether to look for a server for the request in this pass. */
	shouldTry(request: LiveRequest): boolean {
		const {freed, now} = this.#options;
		const isCachedThere = freed?.hasCached(request.objectHash) ?? false;
		const {cachedAt} = request;
		if (freed !== undefined && !isCachedThere && cachedAt !== undefined) {
			return now >= cachedAt && !this.#isExhausted(request);
		}

		return isCachedThere
			? !this.#isExhausted(request, 'cached')
			: !this.#isExhausted(request);
	}

	/** No server was found for the request. */
	onFailed(request: LiveRequest): void {
		const isCachedThere =
			this.#options.freed?.hasCached(request.objectHash) ?? false;
		const key = createGroupKey(request, isCachedThere ? 'cached' : '');
		this.#failures.set(key, (this.#failures.get(key) ?? 0) + 1);
	}

	#isExhausted(request: LiveRequest, kind = ''): boolean {
		const {freed, order} = this.#options;
		const failures = this.#failures.get(createGroupKey(request, kind)) ?? 0;
		// A customer that has had more than its share takes no slot that others wait for.
		if (failures > 0 && order.isAheadOfTurn(request)) {
			return true;
		}

		return (
			failures >=
			(freed === undefined ? maximumFailuresOnTick : maximumFailuresAtEnd)
		);
	}
}

function createGroupKey(
	{priority, homeRegions}: LiveRequest,
	kind: string,
): string {
	return `${priority}/${homeRegions.join(',')}/${kind}`;
}
