import type {Milliseconds} from '@parsleyvale/shared';
import type {Holding} from './holding.js';
import type {Peer} from './peer.js';
import type {PeerTable} from './peer-table.js';
import {livenessTimeout, recentLoanRequestWindow} from './timing.js';

/**
 * Factor by which requests exceed the amount, as reports of peers lag behind.
 */
const overRequestFactor = 2;

/**
 * Lists the peers to ask for an amount: as many as needed, starting with those
 * that report most of it, or all peers if the budget was requested recently.
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
		.filter((peer) => peer.isLive(now, livenessTimeout) && !peer.isStopping);
	if (now - holding.demand.lastLoanRequestedAt < recentLoanRequestWindow) {
		return live;
	}

	const totalAmount = spec.kind === 'rate' ? spec.burst : spec.total;
	// A peer that does not report the budget has not used its share.
	const untouchedShare = totalAmount / (live.length + 1);
	const toAvailable = (peer: Peer) =>
		peer.demands.get(spec.id)?.available ?? untouchedShare;
	const ranked = live.sort(
		(left, right) => toAvailable(right) - toAvailable(left),
	);
	let foundAmount = 0;
	return ranked.filter((peer) => {
		const isNeeded = foundAmount < overRequestFactor * amount + 1;
		foundAmount += toAvailable(peer);
		return isNeeded;
	});
}
