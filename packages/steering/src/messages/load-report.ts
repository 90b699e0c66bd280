import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from '../servers/server-state.js';
import type {Digest} from './digest.js';

/** Returns this host's requests in flight at each server, and those for objects not cached there. */
export function createLoadReport(
	states: ReadonlyMap<string, ServerState>,
	now: Milliseconds,
): Pick<Digest, 'inFlight' | 'firstWork'> {
	const inFlight: Record<string, number> = {};
	const uncachedRuns: Array<[string, number, number]> = [];
	for (const [id, state] of states) {
		if (state.inFlight.size > 0) {
			inFlight[id] = state.inFlight.size;
		}

		for (const {objectHash, sentAt, expectedTime} of state.inFlight) {
			if (!state.hasCached(objectHash)) {
				const remaining = Math.max(0, Math.round(sentAt + expectedTime - now));
				uncachedRuns.push([id, objectHash, remaining]);
			}
		}
	}

	return {inFlight, firstWork: uncachedRuns};
}
