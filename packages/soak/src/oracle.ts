import type {Milliseconds} from '@parsleyvale/shared';
import type {CallerRecord} from './caller.js';
import {toAnswerBody, type Execution} from './server-stand-in.js';

/** What callers and servers saw of a run, and when what was changed. */
export type Evidence = {
	readonly records: readonly CallerRecord[];
	readonly executions: readonly Execution[];
	/** Keys and when the store took the configuration without them. */
	readonly revokedAt: ReadonlyMap<string, Milliseconds>;
	/** Servers and when the store took their leave. */
	readonly leftAt: ReadonlyMap<string, Milliseconds>;
	/** When a failure domain was evacuated, and until when. */
	readonly evacuations: ReadonlyArray<{
		readonly from: Milliseconds;
		readonly to: Milliseconds;
	}>;
	/** Servers of that failure domain. */
	readonly evacuatedServers: ReadonlySet<string>;
	/** Times in which faults lay, from their begin to their end. */
	readonly faults: ReadonlyArray<{
		readonly kind: string;
		readonly from: Milliseconds;
		readonly to: Milliseconds;
	}>;
	/** When all daemons ran again after all had been killed. */
	readonly allBackAt: readonly Milliseconds[];
	readonly end: Milliseconds;
	readonly limit: {
		readonly customer: string;
		readonly perSecond: number;
		readonly burst: number;
	};
};

export type Violation = {
	readonly promise: string;
	readonly requestId: string | undefined;
	readonly detail: string;
};

/** The platform's bounds, as its settings name them for these runs. */
export const bounds = {
	revocation: 5000,
	drain: 2500,
	evacuation: 5000,
	recovery: 15_000,
	window: 5000,
	overage: 0.1,
	slack: 20,
	/** Servers to which a repeatable request may be sent. */
	attempts: 2,
	/** After a fault, for so long nothing is judged that it may have delayed. */
	stable: 4000,
};

const notRunStatuses: ReadonlySet<number | undefined> = new Set([
	408, 421, 429, 503,
]);
/** Planned work, around which nothing that was read may be cut. */
const plannedKinds: ReadonlySet<string> = new Set([
	'daemon-stop',
	'daemon-reload',
	'configuration',
	'evacuate',
	'revoke',
	'server-leave',
]);
/** Calls that were never connected cannot have been read. */
const neverReadProblems: ReadonlySet<string | undefined> = new Set([
	'ECONNREFUSED',
	'deadline',
]);

type Check = (evidence: Evidence) => Violation[];

/** The promises, each by what callers and servers saw. */
export const checks: Readonly<Record<string, Check>> = {
	'runs at most as often as it may'({records, executions}) {
		const runs = countRuns(executions);
		return records
			.filter(
				({id, isSafe}) => (runs.get(id) ?? 0) > (isSafe ? bounds.attempts : 1),
			)
			.map(({id}) => toViolation(id, `${runs.get(id)} runs`));
	},
	'said not to have run has not run'({records, executions}) {
		const runs = countRuns(executions);
		return records
			.filter(({id, status}) => notRunStatuses.has(status) && runs.has(id))
			.map(({id, status}) => toViolation(id, `status ${status}, and ran`));
	},
	'answered with the whole answer of its own': ({records}) =>
		records
			.filter(
				({id, status, body}) => status === 200 && body !== toAnswerBody(id),
			)
			.map(({id, body}) => toViolation(id, `${body.length} bytes of another`)),
	'a withdrawn key runs nothing'({records, executions, revokedAt}) {
		const runs = countRuns(executions);
		return records
			.filter(({id, key, sentAt}) => {
				const at = revokedAt.get(key);
				return (
					at !== undefined && sentAt > at + bounds.revocation && runs.has(id)
				);
			})
			.map(({id, key}) => toViolation(id, `ran with ${key}`));
	},
	'a server that leaves gets nothing more': ({executions, leftAt, faults}) =>
		executions
			.filter(({server, at}) => {
				const left = leftAt.get(server);
				return (
					left !== undefined &&
					at > left + bounds.drain &&
					!isDisturbed(faults, left - bounds.stable, at, plannedKinds)
				);
			})
			.map(({requestId, server, at}) =>
				toViolation(
					requestId,
					`at ${server} ${Math.round(at - leftAt.get(server)!)} ms after its leave`,
				),
			),
	'an evacuated failure domain gets nothing'({
		executions,
		evacuations,
		evacuatedServers,
		faults,
	}) {
		return evacuations.flatMap(({from, to}) =>
			executions
				.filter(
					({server, at}) =>
						evacuatedServers.has(server) &&
						at > from + bounds.evacuation &&
						at < to &&
						!isDisturbed(faults, from - bounds.stable, at, plannedKinds),
				)
				.map(({requestId, server, at}) =>
					toViolation(
						requestId,
						`at ${server} ${Math.round(at - from)} ms after the evacuation`,
					),
				),
		);
	},
	'a customer stays within its rate'({executions, limit}) {
		const times = executions
			.filter(({customer}) => customer === limit.customer)
			.map(({at}) => at)
			.sort((a, b) => a - b);
		const owed = (limit.perSecond * bounds.window) / 1000 + limit.burst;
		const most = owed * (1 + bounds.overage) + bounds.slack;
		let first = 0;
		for (const [index, at] of times.entries()) {
			while (times[first]! <= at - bounds.window) {
				first += 1;
			}

			const count = index - first + 1;
			if (count > most) {
				return [
					toViolation(undefined, `${count} in a window, at most ${most}`),
				];
			}
		}

		return [];
	},
	'nothing that was read is cut by planned work': ({records, faults}) =>
		records
			.filter(
				({isOnKept, status, problem, sentAt, endedAt}) =>
					!isOnKept &&
					status === undefined &&
					endedAt !== undefined &&
					!neverReadProblems.has(problem) &&
					!isDisturbed(faults, sentAt - bounds.stable, endedAt, plannedKinds),
			)
			.map(({id, daemon, problem}) =>
				toViolation(id, `${problem} at ${daemon}`),
			),
	'serves again after all were killed': ({records, allBackAt, end}) =>
		allBackAt
			.filter((at) => at + bounds.recovery <= end)
			.filter(
				(at) =>
					!records.some(
						({status, sentAt}) =>
							status === 200 && sentAt > at && sentAt <= at + bounds.recovery,
					),
			)
			.map((at) => toViolation(undefined, `nothing served after ${at}`)),
	'serves nine in ten without faults'({records, faults, end, limit}) {
		const calm = records.filter(
			({sentAt, key, endedAt}) =>
				endedAt !== undefined &&
				key !== `key-${limit.customer}` &&
				sentAt < end - bounds.stable / 2 &&
				!isDisturbed(faults, sentAt - bounds.stable, sentAt + 1000, new Set()),
		);
		const served = calm.filter(({status}) => status === 200 || status === 401);
		return calm.length >= 50 && served.length < calm.length * 0.9
			? [toViolation(undefined, `${served.length} of ${calm.length}`)]
			: [];
	},
};

/** Judges a run; each violation names the promise that was broken. */
export function judge(evidence: Evidence): Violation[] {
	return Object.entries(checks).flatMap(([promise, check]) =>
		check(evidence).map((violation) => ({...violation, promise})),
	);
}

function countRuns(executions: readonly Execution[]): Map<string, number> {
	const runs = new Map<string, number>();
	for (const {requestId} of executions) {
		runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
	}

	return runs;
}

/** Whether a fault, other than of the kinds named, lay in that time. */
function isDisturbed(
	faults: Evidence['faults'],
	from: Milliseconds,
	to: Milliseconds,
	apart: ReadonlySet<string>,
): boolean {
	return faults.some(
		(fault) => !apart.has(fault.kind) && fault.from <= to && fault.to >= from,
	);
}

function toViolation(requestId: string | undefined, detail: string): Violation {
	return {promise: '', requestId, detail};
}
