import type {AttemptEnded, AttemptOutcome} from '@parsleyvale/kernel';
import {ErrorKind, errorAnswers} from '@parsleyvale/shared';
import type {LiveRequest} from './live-request.js';
import type {Safeguards} from './safeguards.js';

/** Whether a backend server may have begun the request. */
export function isPossiblyRun(outcome: AttemptOutcome): boolean {
	return outcome !== 'not-sent' && outcome !== 'refused';
}

const kindsOfOutcomes: Readonly<
	Record<Exclude<AttemptOutcome, 'answered'>, ErrorKind>
> = {
	'not-sent': ErrorKind.NoServer,
	refused: ErrorKind.ServerRefused,
	unknown: ErrorKind.OutcomeUnknown,
	cut: ErrorKind.AnswerCut,
	cancelled: ErrorKind.CallerGone,
};

/** The error of a request that ends with this attempt; undefined: answered. */
export function toKind(outcome: AttemptOutcome): ErrorKind | undefined {
	return outcome === 'answered' ? undefined : kindsOfOutcomes[outcome];
}

/** Whether one more attempt is safe and of use to the caller. */
export function isRepeatable(
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
		!isPossiblyRun(outcome) ||
		!safeguards.repeatsOnlyWhatDidNotRun
	);
}

/**
 * The kind that may be told: one that says "not run" is not true any more
 * when an earlier attempt may have run.
 */
export function toTrueKind(
	kind: ErrorKind | undefined,
	request: LiveRequest,
	safeguards: Safeguards,
): ErrorKind | undefined {
	if (kind === undefined || !safeguards.remembersWhatMayHaveRun) {
		return kind;
	}

	return request.mayHaveRun && errorAnswers[kind].notRun
		? ErrorKind.OutcomeUnknown
		: kind;
}
