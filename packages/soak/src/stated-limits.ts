import type {Milliseconds} from '@parsleyvale/shared';
import type {RunHistory} from './oracle.js';

/** A limit that a server stated in its responses, and when. */
export type StatedLimit = {
	readonly server: string;
	readonly perSecond: number;
	readonly from: Milliseconds;
	readonly to: Milliseconds;
};

/** A limit binds from this time after it was first stated. */
const settlingTime: Milliseconds = 3000;
/** A daemon is bound from this time after it passed on a response that states the limit. */
const reactionTime: Milliseconds = 500;
const windowDuration: Milliseconds = 4000;
/** A daemon is excused until this time after its fault. */
const recoveryTime: Milliseconds = 4000;
const allowedFactor = 1.5;
const allowedRequests = 5;
/** Faults that excuse a daemon from the limits of servers. */
const daemonFaultKinds: ReadonlySet<string> = new Set([
	'daemon-kill',
	'daemon-stop',
	'daemon-pause',
	'store-link',
	'kill-all',
]);

/** Lists the servers that got more requests in some window than their limit allows. */
export function listExceededLimits(history: RunHistory): Array<{
	readonly server: string;
	readonly count: number;
	readonly allowed: number;
}> {
	return history.statedLimits.flatMap((limit) => {
		const {server, perSecond, from, to} = limit;
		const allowed =
			(allowedFactor * perSecond * windowDuration) / 1000 + allowedRequests;
		const times = listBoundArrivals(history, limit);
		const count = Math.max(
			0,
			...times
				.filter((at) => at >= from + settlingTime && at <= to)
				.map(
					(end) =>
						times.filter((at) => at > end - windowDuration && at <= end).length,
				),
		);
		return count > allowed ? [{server, count, allowed}] : [];
	});
}

/** Returns the times of a server's executions that its limit binds, by the daemons that had passed it on. */
function listBoundArrivals(
	{records, executions, faults}: RunHistory,
	{server, from, to}: StatedLimit,
): Milliseconds[] {
	const recordsById = new Map(records.map((record) => [record.id, record]));
	const informedAt = new Map<string, Milliseconds>();
	const atServer = executions.filter(
		(execution) =>
			execution.server === server && execution.at >= from && execution.at <= to,
	);
	for (const {requestId} of atServer) {
		const {daemon, status, endedAt} = recordsById.get(requestId) ?? {};
		if (daemon !== undefined && status === 200 && endedAt !== undefined) {
			const earliest = informedAt.get(daemon) ?? Number.POSITIVE_INFINITY;
			informedAt.set(daemon, Math.min(earliest, endedAt));
		}
	}

	return atServer
		.filter(({requestId, at}) => {
			const daemon = recordsById.get(requestId)?.daemon ?? '';
			const isInformed =
				at >=
				(informedAt.get(daemon) ?? Number.POSITIVE_INFINITY) + reactionTime;
			return isInformed && !isExcused(faults, {daemon, server}, at);
		})
		.map(({at}) => at);
}

/** Whether a fault of the daemon, or of the link to the server, excuses a request. */
function isExcused(
	faults: RunHistory['faults'],
	{daemon, server}: {readonly daemon: string; readonly server: string},
	at: Milliseconds,
): boolean {
	return faults.some(({kind, target, from, to}) => {
		const isConcerned =
			(daemonFaultKinds.has(kind) &&
				(target === undefined || target === daemon)) ||
			(kind === 'server-link' && target === server);
		return isConcerned && from <= at && to >= at - recoveryTime;
	});
}
