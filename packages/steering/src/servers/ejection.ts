import type {Milliseconds} from '@parsleyvale/shared';
import type {ServerState} from './server-state.js';

/** Maximum fraction of a pool's servers that may be ejected. */
const maximumPoolFraction = 0.5;
/** The same for the servers of one failure domain, which may fail as a whole. */
const maximumDomainFraction = 0.75;

/** `refused`: too many servers of its failure domain are ejected; `all-suspect`: too many servers of the pool fail. */
export type EjectionDecision = 'kept' | 'ejected' | 'refused' | 'all-suspect';

/**
 * Ejects a failing server unless too few servers would remain in its pool or its
 * failure domain; then it gets one request at a time. If more than the allowed
 * fraction of the pool fails, the cause is probably not the servers, and all
 * ejections in the pool are cancelled.
 */
export function updateEjection(
	servers: readonly ServerState[],
	state: ServerState,
	now: Milliseconds,
): EjectionDecision {
	if (!state.isFailing || state.isInEjectionTime(now)) {
		return 'kept';
	}

	const failing = servers.filter(({isFailing}) => isFailing);
	if (failing.length > computeMaximum(servers.length, maximumPoolFraction)) {
		for (const other of failing) {
			other.cancelEjection(now);
		}

		return 'all-suspect';
	}

	const {failureDomain} = state.server;
	const isInDomain = ({server}: ServerState) =>
		server.failureDomain === failureDomain;
	const domainSize = servers.filter((other) => isInDomain(other)).length;
	const ejectedInDomain = failing.filter(
		(other) => isInDomain(other) && other.isInEjectionTime(now),
	).length;
	if (ejectedInDomain >= computeMaximum(domainSize, maximumDomainFraction)) {
		return 'refused';
	}

	state.startEjection(now);
	return 'ejected';
}

function computeMaximum(servers: number, fraction: number): number {
	return Math.max(1, Math.floor(servers * fraction));
}
