import type {Milliseconds} from '@parsleyvale/shared';
import type {Holding} from './holding.js';
import type {Peer} from './peer.js';
import type {PeerTable} from './peer-table.js';
import {guarantorSilence, wantMemory} from './timing.js';

/** How many times the wanted amount is asked for, as reports lag. */
const margin = 2;

/**
 * The peers to ask for an amount: those that seem to have most of it, as many
 * as it takes; all of them when the budget was wanted just before.
 */
export function listLikelyLenders(
	peers: PeerTable,
	holding: Holding,
	amount: number,
	now: Milliseconds,
): Peer[] {
	const {spec} = holding;
	const live = peers
		.listPeers()
		.filter((peer) => peer.isHeard(now, guarantorSilence) && !peer.isStopping);
	if (now - holding.demand.wantedAt < wantMemory) {
		return live;
	}

	const whole = spec.kind === 'rate' ? spec.burst : spec.total;
	// A peer that does not report the budget has its share of it untouched.
	const untouched = whole / (live.length + 1);
	const toAvailable = (peer: Peer) =>
		peer.demands.get(spec.id)?.available ?? untouched;
	const ranked = live.sort(
		(left, right) => toAvailable(right) - toAvailable(left),
	);
	let found = 0;
	return ranked.filter((peer) => {
		const isNeeded = found < margin * amount + 1;
		found += toAvailable(peer);
		return isNeeded;
	});
}
