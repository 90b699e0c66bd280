import type {AttemptEnded, AttemptOutcome} from '@parsleyvale/kernel';
import {ErrorKind, errorResponses} from '@parsleyvale/shared';
import type {LiveRequest} from './live-request.js';
import type {Safeguards} from './safeguards.js';

/** Whether a backend server may have started to execute the request. */
export function mayHaveRun(outcome: AttemptOutcome): boolean {
	return outcome !== 'not-sent' && outcome !== 'refused';
}

const outcomeErrorKinds: Readonly<
	Record<Exclude<AttemptOutcome, 'answered'>, ErrorKind>
> = {
	'not-sent': ErrorKind.NoServer,
	refused: ErrorKind.ServerRefused,
	unknown: ErrorKind.OutcomeUnknown,
	cut: ErrorKind.AnswerCut,
	cancelled: ErrorKind.CallerGone,
};

/** Error kind of a request whose last attempt has this outcome; undefined if answered. */
export function toErrorKind(outcome: AttemptOutcome): ErrorKind | undefined {
	return outcome === 'answered' ? undefined : outcomeErrorKinds[outcome];
}

/** Whether another attempt is safe and useful to the caller. */
export function isRetryable(
	request: LiveRequest,
	event: AttemptEnded,
	safeguards: Safeguards,
): boolean {
	const {outcome} = event;
	if (outcome === 'answered' || outcome === 'cancelled' || !event.repeatable) {
		return false;
	}

	return (
		request.route.idempotent ||
		!mayHaveRun(outcome) ||
		!safeguards.retryOnlyIfNotRun
	);
}

/**
 * The kind to report to the caller. A kind that implies "not run" is replaced by
 * `outcome-unknown` when an earlier attempt may have run.
 */
export function toReportedKind(
	kind: ErrorKind | undefined,
	request: LiveRequest,
	safeguards: Safeguards,
): ErrorKind | undefined {
	if (kind === undefined || !safeguards.rememberPossibleRun) {
		return kind;
	}

	return request.mayHaveRun && errorResponses[kind].notRun
		? ErrorKind.OutcomeUnknown
		: kind;
}
