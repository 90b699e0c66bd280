import type {Claim} from '@parsleyvale/kernel';
import {ErrorKind, type EntryHost} from '@parsleyvale/shared';
import type {ClaimEntry} from './claim-entry.js';
import type {ClaimObject} from './claim-object.js';

function toEndedRefusal(outcome: ClaimObject['ending']): ErrorKind {
	return outcome === 'answered'
		? ErrorKind.DuplicateCompleted
		: ErrorKind.OutcomeUnknown;
}

/** Refusal of a repeat on the host that handles the first request. */
export function toLocalRefusal(entry: ClaimEntry, claim: Claim): ErrorKind {
	if (entry.claim.fingerprint !== claim.fingerprint) {
		return ErrorKind.IdempotencyKeyReused;
	}

	if (entry.phase === 'releasing') {
		return ErrorKind.ClaimUnavailable;
	}

	return entry.phase === 'completing'
		? toEndedRefusal(entry.outcome)
		: ErrorKind.DuplicateInProgress;
}

/** Refusal of a repeat whose key is held by a recorded claim. */
export function toRefusal(
	found: ClaimObject,
	claim: Pick<Claim, 'fingerprint'>,
	liveHosts: readonly EntryHost[],
): ErrorKind {
	if (found.fingerprint !== claim.fingerprint) {
		return ErrorKind.IdempotencyKeyReused;
	}

	if (found.ending !== undefined) {
		return toEndedRefusal(found.ending);
	}

	const isLive = liveHosts.some(
		(member) =>
			member.name === found.holder.name &&
			member.incarnation === found.holder.incarnation,
	);
	return isLive ? ErrorKind.DuplicateInProgress : ErrorKind.OutcomeUnknown;
}
