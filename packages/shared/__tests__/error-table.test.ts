import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ErrorKind, getErrorResponse} from '../src/index.js';

describe('error table', () => {
	it('has a response for every kind of error', () => {
		for (const kind of Object.values(ErrorKind)) {
			expect(getErrorResponse(kind).httpStatus).toBeGreaterThanOrEqual(400);
		}
	});

	it('never sets notRun if a backend server may have started the request', () => {
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
			expect(getErrorResponse(kind).notRun).toEqual(false);
		}
	});
});
