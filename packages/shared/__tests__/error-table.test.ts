import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ErrorKind, getErrorAnswer} from '../src/index.js';

describe('error table', () => {
	it('has an answer for every kind', () => {
		for (const kind of Object.values(ErrorKind)) {
			expect(getErrorAnswer(kind).httpStatus).toBeGreaterThanOrEqual(400);
		}
	});

	it('never says "not run" where a backend server may have begun', () => {
		const mayHaveRun = [
			ErrorKind.OutcomeUnknown,
			ErrorKind.AnswerCut,
			ErrorKind.DeadlineExceeded,
			ErrorKind.CallerGone,
			ErrorKind.DuplicateInProgress,
			ErrorKind.DuplicateCompleted,
			ErrorKind.Internal,
		];
		for (const kind of mayHaveRun) {
			expect(getErrorAnswer(kind).notRun).toEqual(false);
		}
	});
});
