import type {Milliseconds} from '@parsleyvale/shared';
import type {CallerRecord} from './caller.js';
import {createResponseBody, type Execution} from './server-stand-in.js';
import {listExceededLimits, type StatedLimit} from './stated-limits.js';

/** What callers and servers observed during a run, and when faults and changes were applied. */
export type RunHistory = {
	readonly records: readonly CallerRecord[];
	readonly executions: readonly Execution[];
	/** When the configuration without a key was written to the store, by key. */
	readonly revokedAt: ReadonlyMap<string, Milliseconds>;
	/** When a server's entry was set to draining in the store, by server id. */
	readonly drainStartedAt: ReadonlyMap<string, Milliseconds>;
	/** Periods during which a failure domain was evacuated. */
	readonly evacuations: ReadonlyArray<{
		readonly from: Milliseconds;
		readonly to: Milliseconds;
	}>;
	/** Limits that servers stated, and the periods during which they did. */
	readonly statedLimits: readonly StatedLimit[];
	/** Ids of the servers in the evacuated failure domain. */
	readonly evacuatedServers: ReadonlySet<string>;
	/** Faults and the periods during which they were active. */
	readonly faults: ReadonlyArray<{
		readonly kind: string;
		/** Name of the daemon, or id of the server, if it concerns one. */
		readonly target?: string | undefined;
		readonly from: Milliseconds;
		readonly to: Milliseconds;
	}>;
	/** When the last daemon was started again after all had been killed. */
	readonly allRestartedAt: readonly Milliseconds[];
	readonly end: Milliseconds;
	readonly rateLimit: {
		readonly customer: string;
		readonly perSecond: number;
		readonly burst: number;
	};
};

export type Violation = {
	readonly guarantee: string;
	readonly requestId: string | undefined;
	readonly detail: string;
};

/** Limits that the checks apply; some of them are also passed to the daemons in their settings. */
export const bounds = {
	revocationMs: 5000,
	drainMs: 2500,
	evacuationMs: 5000,
	recoveryMs: 15_000,
	rateWindowMs: 5000,
	rateOverageRatio: 0.1,
	rateSlack: 20,
	/** Number of servers to which a request with a safe method may be sent. */
	maxAttempts: 2,
	/** Executions of a request that has crashed three servers. */
	retriesOfDeadly: 3,
	/** Events within this time after a fault are not checked because the fault may have delayed them. */
	stabilizationMs: 4000,
};

/** Begins the ids of requests that crash servers. */
export const deadlyIdPrefix = 'deadly-';

const notExecutedStatuses: ReadonlySet<number | undefined> = new Set([
	408, 421, 429, 503,
]);
/** Planned changes, which must not interrupt requests that a daemon has received. */
const plannedChangeKinds: ReadonlySet<string> = new Set([
	'daemon-stop',
	'daemon-reload',
	'configuration',
	'evacuate',
	'revoke',
	'server-leave',
	'server-limit',
]);
/** Failures of requests that a daemon may never have received. */
const notReceivedFailures: ReadonlySet<string | undefined> = new Set([
	'ECONNREFUSED',
	'deadline',
]);

type GuaranteeCheck = (history: RunHistory) => Violation[];

/** One check for each guarantee, based on what callers and servers observed. */
export const checks: Readonly<Record<string, GuaranteeCheck>> = {
	'requests are executed at most as often as allowed'({records, executions}) {
		const executionCounts = countExecutions(executions);
		return records
			.filter(
				({id, isSafe}) =>
					(executionCounts.get(id) ?? 0) > (isSafe ? bounds.maxAttempts : 1),
			)
			.map(({id}) =>
				createViolation(id, `${executionCounts.get(id)} executions`),
			);
	},
	'requests rejected as not executed were not executed'({records, executions}) {
		const executionCounts = countExecutions(executions);
		return records
			.filter(
				({id, status}) =>
					notExecutedStatuses.has(status) && executionCounts.has(id),
			)
			.map(({id, status}) =>
				createViolation(id, `status ${status}, but executed`),
			);
	},
	'successful responses are complete and match their request': ({records}) =>
		records
			.filter(
				({id, status, body}) =>
					status === 200 && body !== createResponseBody(id),
			)
			.map(({id, body}) =>
				createViolation(id, `unexpected body of ${body.length} bytes`),
			),
	'requests with a revoked key are not executed'({
		records,
		executions,
		revokedAt,
	}) {
		const executionCounts = countExecutions(executions);
		return records
			.filter(({id, key, sentAt}) => {
				const revocationTime = revokedAt.get(key);
				return (
					revocationTime !== undefined &&
					sentAt > revocationTime + bounds.revocationMs &&
					executionCounts.has(id)
				);
			})
			.map(({id, key}) => createViolation(id, `executed with ${key}`));
	},
	'a request that has crashed three servers is kept from others'({
		executions,
		faults,
	}) {
		const crashes = executions.filter(({requestId}) =>
			requestId.startsWith(deadlyIdPrefix),
		);
		const thirdAt = crashes[2]?.at ?? Number.POSITIVE_INFINITY;
		const late = crashes.filter(
			({at}) => at > thirdAt + bounds.stabilizationMs,
		);
		const isDisturbed = overlapsFault(
			faults,
			thirdAt - bounds.stabilizationMs,
			late.at(-1)?.at ?? thirdAt,
			new Set([...plannedChangeKinds, 'deadly-request']),
		);
		return late.length > bounds.retriesOfDeadly && !isDisturbed
			? [createViolation(undefined, `${late.length} executions`)]
			: [];
	},
	'draining servers receive no new requests': ({
		executions,
		drainStartedAt,
		faults,
	}) =>
		executions
			.filter(({server, at}) => {
				const startedAt = drainStartedAt.get(server);
				return (
					startedAt !== undefined &&
					at > startedAt + bounds.drainMs &&
					!overlapsFault(
						faults,
						startedAt - bounds.stabilizationMs,
						at,
						plannedChangeKinds,
					)
				);
			})
			.map(({requestId, server, at}) =>
				createViolation(
					requestId,
					`at ${server} ${Math.round(at - drainStartedAt.get(server)!)} ms after it began to drain`,
				),
			),
	'evacuated failure domains receive no requests'({
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
						at > from + bounds.evacuationMs &&
						at < to &&
						!overlapsFault(
							faults,
							from - bounds.stabilizationMs,
							at,
							plannedChangeKinds,
						),
				)
				.map(({requestId, server, at}) =>
					createViolation(
						requestId,
						`at ${server} ${Math.round(at - from)} ms after the evacuation began`,
					),
				),
		);
	},
	'customers stay within their rate limit'({executions, rateLimit}) {
		const times = executions
			.filter(({customer}) => customer === rateLimit.customer)
			.map(({at}) => at)
			.sort((a, b) => a - b);
		const allowance =
			(rateLimit.perSecond * bounds.rateWindowMs) / 1000 + rateLimit.burst;
		const maxCount =
			allowance * (1 + bounds.rateOverageRatio) + bounds.rateSlack;
		let windowStart = 0;
		for (const [index, at] of times.entries()) {
			while (times[windowStart]! <= at - bounds.rateWindowMs) {
				windowStart += 1;
			}

			const count = index - windowStart + 1;
			if (count > maxCount) {
				return [
					createViolation(
						undefined,
						`${count} executions in a window, at most ${maxCount} allowed`,
					),
				];
			}
		}

		return [];
	},
	'servers get no more requests than they state': (history) =>
		listExceededLimits(history).map(({server, count, allowed}) =>
			createViolation(
				undefined,
				`${count} at ${server}, at most ${Math.floor(allowed)} allowed`,
			),
		),
	'planned changes do not interrupt received requests': ({records, faults}) =>
		records
			.filter(
				({isOnReusedConnection, status, failure, sentAt, endedAt}) =>
					!isOnReusedConnection &&
					status === undefined &&
					endedAt !== undefined &&
					!notReceivedFailures.has(failure) &&
					!overlapsFault(
						faults,
						sentAt - bounds.stabilizationMs,
						endedAt,
						plannedChangeKinds,
					),
			)
			.map(({id, daemon, failure}) =>
				createViolation(id, `${failure} at ${daemon}`),
			),
	'service recovers after all daemons are killed': ({
		records,
		allRestartedAt,
		end,
	}) =>
		allRestartedAt
			.filter((restartedAt) => restartedAt + bounds.recoveryMs <= end)
			.filter(
				(restartedAt) =>
					!records.some(
						({status, sentAt}) =>
							status === 200 &&
							sentAt > restartedAt &&
							sentAt <= restartedAt + bounds.recoveryMs,
					),
			)
			.map((restartedAt) =>
				createViolation(
					undefined,
					`no successful request after ${restartedAt}`,
				),
			),
	'at least 90% of requests succeed without faults'({
		records,
		faults,
		end,
		rateLimit,
	}) {
		const undisturbedRecords = records.filter(
			({sentAt, key, endedAt}) =>
				endedAt !== undefined &&
				key !== `key-${rateLimit.customer}` &&
				sentAt < end - bounds.stabilizationMs / 2 &&
				!overlapsFault(
					faults,
					sentAt - bounds.stabilizationMs,
					sentAt + 1000,
					new Set(),
				),
		);
		const servedRecords = undisturbedRecords.filter(
			({status}) => status === 200 || status === 401,
		);
		return undisturbedRecords.length >= 50 &&
			servedRecords.length < undisturbedRecords.length * 0.9
			? [
					createViolation(
						undefined,
						`${servedRecords.length} of ${undisturbedRecords.length}`,
					),
				]
			: [];
	},
};

/** Applies all checks to a run; each violation names the guarantee that was broken. */
export function findViolations(history: RunHistory): Violation[] {
	return Object.entries(checks).flatMap(([guarantee, check]) =>
		check(history).map((violation) => ({...violation, guarantee})),
	);
}

function countExecutions(
	executions: readonly Execution[],
): Map<string, number> {
	const executionCounts = new Map<string, number>();
	for (const {requestId} of executions) {
		executionCounts.set(requestId, (executionCounts.get(requestId) ?? 0) + 1);
	}

	return executionCounts;
}

/** Whether a fault of a kind that is not ignored was active during the period. */
function overlapsFault(
	faults: RunHistory['faults'],
	from: Milliseconds,
	to: Milliseconds,
	ignoredKinds: ReadonlySet<string>,
): boolean {
	return faults.some(
		(fault) =>
			!ignoredKinds.has(fault.kind) && fault.from <= to && fault.to >= from,
	);
}

function createViolation(
	requestId: string | undefined,
	detail: string,
): Violation {
	return {guarantee: '', requestId, detail};
}
