import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {isSameProcess, type ProcessId} from './ledger.js';
import type {PeerTable} from './peer-table.js';
import {guarantorSilence} from './timing.js';

function toProcess({name, incarnation}: ProcessId): ProcessId {
	return {name, incarnation};
}

/** Lower is better: same region and another failure domain come first. */
function rankGuarantor(self: EntryHost, other: EntryHost | undefined): number {
	if (other === undefined) {
		return 3;
	}

	const isNear = other.region === self.region;
	const isApart = other.failureDomain !== self.failureDomain;
	return (isNear ? 0 : 2) + (isApart ? 0 : 1);
}

/** What a guarantor is chosen for. */
export type GuarantorChoice = {
	readonly current: ProcessId | null;
	/** Region of the group; undefined: the group of all hosts. */
	readonly region: string | undefined;
};

function isInRegion(
	peers: PeerTable,
	name: string,
	region: string | undefined,
): boolean {
	return region === undefined || peers.findMember(name)?.region === region;
}

/** Live peers that do not stop, by name. */
function listLive(peers: PeerTable, now: Milliseconds): ProcessId[] {
	return peers
		.listPeers()
		.filter((peer) => peer.isHeard(now, guarantorSilence) && !peer.isStopping)
		.map((peer) => toProcess(peer));
}

/**
 * The peer that may take this host's root share over early. The present one
 * stays while none that is better placed is live; null when no peer is.
 * Only hosts of the group's region follow its ledger and can promise.
 */
export function chooseGuarantor(
	self: EntryHost,
	peers: PeerTable,
	choice: GuarantorChoice,
	now: Milliseconds,
): ProcessId | null {
	const {current, region} = choice;
	const live = listLive(peers, now).filter(({name}) =>
		isInRegion(peers, name, region),
	);
	const toRank = ({name}: ProcessId) =>
		rankGuarantor(self, peers.findMember(name));
	const present = live.find((process) => isSameProcess(process, current));
	const best = Math.min(...live.map((process) => toRank(process)));
	if (present !== undefined && toRank(present) === best) {
		return present;
	}

	// Names after one's own come first, so that the duty is spread.
	const isAfter = (name: string) => (name > self.name ? 0 : 1);
	const ranked = live.sort(
		(left, right) =>
			toRank(left) - toRank(right) ||
			isAfter(left.name) - isAfter(right.name) ||
			left.name.localeCompare(right.name),
	);
	return ranked[0] ?? null;
}

/** Live hosts of a region (of all regions when undefined). */
export function listReceivers(
	peers: PeerTable,
	region: string | undefined,
	now: Milliseconds,
): ProcessId[] {
	return listLive(peers, now).filter((process) => {
		const member = peers.findMember(process.name);
		return (
			member?.incarnation === process.incarnation &&
			isInRegion(peers, process.name, region)
		);
	});
}
