import type {Milliseconds} from '@parsleyvale/shared';
import type {Digest} from './digest.js';
import type {ServerState} from './server-state.js';

/** What runs at servers for this host, and which objects are new to them. */
export function toLoadReport(
	states: ReadonlyMap<string, ServerState>,
	now: Milliseconds,
): Pick<Digest, 'inFlight' | 'firstWork'> {
	const inFlight: Record<string, number> = {};
	const firstWork: Array<[string, number, number]> = [];
	for (const [id, state] of states) {
		if (state.running.size > 0) {
			inFlight[id] = state.running.size;
		}

		for (const {objectHash, sentAt, expected} of state.running) {
			if (!state.hasAtHand(objectHash)) {
				const left = Math.max(0, Math.round(sentAt + expected - now));
				firstWork.push([id, objectHash, left]);
			}
		}
	}

	return {inFlight, firstWork};
}
