import type {Claim} from '@parsleyvale/kernel';
import {ErrorKind, type EntryHost} from '@parsleyvale/shared';
import type {ClaimEntry} from './claim-entry.js';
import type {ClaimObject} from './claim-object.js';

function toEndedKind(ending: ClaimObject['ending']): ErrorKind {
	return ending === 'answered'
		? ErrorKind.DuplicateCompleted
		: ErrorKind.OutcomeUnknown;
}

/** What a repeat hears at the host of the first request. */
export function toLocalRefusal(entry: ClaimEntry, claim: Claim): ErrorKind {
	if (entry.claim.fingerprint !== claim.fingerprint) {
		return ErrorKind.IdempotencyKeyReused;
	}

	if (entry.phase === 'releasing') {
		return ErrorKind.ClaimUnavailable;
	}

	return entry.phase === 'completing'
		? toEndedKind(entry.ending)
		: ErrorKind.DuplicateInProgress;
}

/** What a repeat hears of a claim in the store. */
export function toRefusal(
	found: ClaimObject,
	claim: Claim,
	liveHosts: readonly EntryHost[],
): ErrorKind {
	if (found.fingerprint !== claim.fingerprint) {
		return ErrorKind.IdempotencyKeyReused;
	}

	if (found.ending !== undefined) {
		return toEndedKind(found.ending);
	}

	const isLive = liveHosts.some(
		(member) =>
			member.name === found.holder.name &&
			member.incarnation === found.holder.incarnation,
	);
	return isLive ? ErrorKind.DuplicateInProgress : ErrorKind.OutcomeUnknown;
}
