import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {isSameProcess, type ProcessId} from './ledger.js';
import type {PeerTable} from './peer-table.js';
import {livenessTimeout} from './timing.js';

function toProcessId({name, incarnation}: ProcessId): ProcessId {
	return {name, incarnation};
}

/** Lower is better: prefers the same region, then another failure domain. */
function rankGuarantor(self: EntryHost, other: EntryHost | undefined): number {
	if (other === undefined) {
		return 3;
	}

	const isSameRegion = other.region === self.region;
	const isOtherFailureDomain = other.failureDomain !== self.failureDomain;
	return (isSameRegion ? 0 : 2) + (isOtherFailureDomain ? 0 : 1);
}

export type GuarantorChoice = {
	readonly current: ProcessId | null;
	/** Region of the group; undefined for the group of all hosts. */
	readonly region: string | undefined;
};

function isInRegion(
	peers: PeerTable,
	name: string,
	region: string | undefined,
): boolean {
	return region === undefined || peers.findMember(name)?.region === region;
}

/** Lists live peers that are not shutting down. */
function listLiveProcesses(peers: PeerTable, now: Milliseconds): ProcessId[] {
	return peers
		.listPeers()
		.filter((peer) => peer.isLive(now, livenessTimeout) && !peer.isStopping)
		.map((peer) => toProcessId(peer));
}

/**
 * Chooses the peer that may take over this host's root shares before their
 * leases end. The current guarantor is kept unless a better ranked peer is
 * live; null if no peer is live. Only hosts in the region of the group watch
 * its ledger and can send promises.
 */
export function chooseGuarantor(
	self: EntryHost,
	peers: PeerTable,
	choice: GuarantorChoice,
	now: Milliseconds,
): ProcessId | null {
	const {current, region} = choice;
	const live = listLiveProcesses(peers, now).filter(({name}) =>
		isInRegion(peers, name, region),
	);
	const toRank = ({name}: ProcessId) =>
		rankGuarantor(self, peers.findMember(name));
	const liveGuarantor = live.find((process) => isSameProcess(process, current));
	const bestRank = Math.min(...live.map((process) => toRank(process)));
	if (liveGuarantor !== undefined && toRank(liveGuarantor) === bestRank) {
		return liveGuarantor;
	}

	// Prefers the next name in order, which spreads guarantors over the hosts.
	const toOrder = (name: string) => (name > self.name ? 0 : 1);
	const ranked = live.sort(
		(left, right) =>
			toRank(left) - toRank(right) ||
			toOrder(left.name) - toOrder(right.name) ||
			left.name.localeCompare(right.name),
	);
	return ranked[0] ?? null;
}

/** Lists live members of a region, or of all regions if undefined. */
export function listReceivers(
	peers: PeerTable,
	region: string | undefined,
	now: Milliseconds,
): ProcessId[] {
	return listLiveProcesses(peers, now).filter((process) => {
		const member = peers.findMember(process.name);
		return (
			member?.incarnation === process.incarnation &&
			isInRegion(peers, process.name, region)
		);
	});
}
