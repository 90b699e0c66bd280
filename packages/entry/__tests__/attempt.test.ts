import {describe, it} from 'node:test';
import type {ReportedLoad} from '@parsleyvale/steering';
import {expect} from 'earl';
import {Attempt, AttemptListener, type AttemptResult} from '../src/attempt.js';
import type {ExchangeFailure} from '../src/server-connection.js';
import {createServer, headerNames} from './support/attempt-options.js';

function unexpected(): never {
	throw new Error('The response is buffered, not streamed.');
}

class RecordingListener extends AttemptListener {
	result: AttemptResult | undefined;

	override onStreamStart = unexpected;
	override onStreamData = unexpected;
	override onStreamEnd = unexpected;
	override onStreamAborted = unexpected;

	override onEnded(_attempt: Attempt, result: AttemptResult): void {
		this.result = result;
	}
}

function createAttempt(listener: AttemptListener): Attempt {
	return new Attempt({
		number: 1,
		server: createServer(),
		requestId: '1',
		isHead: false,
		headerNames,
		listener,
	});
}

/** Returns the result of an attempt that gets the given response. */
function receive(status: number, rawHeaders: readonly string[]) {
	const listener = new RecordingListener();
	const attempt = createAttempt(listener);
	attempt.onConnected(undefined);
	attempt.onResponseHead({
		status,
		rawHeaders: ['x-id', '1', 'x-seal', 's', ...rawHeaders],
		shouldKeepAlive: true,
	});
	attempt.onResponseEnd();
	return listener.result!;
}

describe('the rate limit of a server', () => {
	const limits: ReadonlyArray<[string, number | undefined]> = [
		['4.9', 4.9],
		['12', 12],
		['0', 0],
		['0.25', 0.25],
		['4.943572345234532', 4.943_572_345_234_532],
		['0.30000000000000004', 0.1 + 0.2],
		['0000000012.5', 12.5],
	];
	for (const [text, requestsPerSecond] of limits) {
		it(`is read from "${text}"`, () => {
			expect(receive(200, ['X-Limit', text]).rateLimit).toEqual({
				requestsPerSecond,
			});
		});
	}

	for (const text of [
		'',
		'-1',
		'1e3',
		'9'.repeat(400),
		'NaN',
		'4,9',
		'4.',
		'.5',
		'5 6',
	]) {
		it(`is not read from "${text}", which does not end it either`, () => {
			expect(receive(200, ['X-Limit', text]).rateLimit).toEqual(undefined);
		});
	}

	it('is none without the header', () => {
		expect(receive(200, []).rateLimit).toEqual({requestsPerSecond: undefined});
	});

	it('is also read from a rejection', () => {
		const {rateLimit} = receive(503, ['x-not-run', '1', 'x-limit', '2.5']);
		expect(rateLimit).toEqual({requestsPerSecond: 2.5});
	});

	it('is not read from the response of another server', () => {
		expect(receive(421, ['x-limit', '2.5']).rateLimit).toEqual(undefined);
	});
});

describe('the load of a server', () => {
	const loads: ReadonlyArray<[string, ReportedLoad | undefined]> = [
		['3,1', createLoad(3, 1)],
		['3,1,8', createLoad(3, 1, 8)],
		['3,1,8,250', createLoad(3, 1, 8, 250)],
		['3,1,8,87.5', createLoad(3, 1, 8, 87.5)],
		['3,1,8,250,7,x', createLoad(3, 1, 8, 250)],
		['3,1,8,fast', createLoad(3, 1, 8)],
		['3,1,x,250', createLoad(3, 1)],
		['3', undefined],
		['3,-1,8', undefined],
		['x,1,8,100', undefined],
		[`3,1,${'9'.repeat(400)}`, createLoad(3, 1)],
		['', undefined],
	];
	for (const [text, load] of loads) {
		// A header with a fourth figure used to be dropped as a whole.
		it(`is read from "${text}" up to the first part that is no number`, () => {
			expect(receive(200, ['X-Load', text]).load).toEqual(load);
		});
	}
});

/** Returns whether an attempt that fails counts as one whose server may have crashed. */
function wasConnectionLost(
	failure: Partial<ExchangeFailure>,
	hasHead = false,
): boolean {
	const listener = new RecordingListener();
	const attempt = createAttempt(listener);
	attempt.onConnected(undefined);
	if (hasHead) {
		attempt.onResponseHead({
			status: 200,
			rawHeaders: ['x-id', '1'],
			shouldKeepAlive: true,
		});
	}

	attempt.onFailed({
		reason: 'ECONNRESET',
		wasSent: true,
		wasClosedByServer: true,
		...failure,
	});
	return listener.result!.wasConnectionLost;
}

describe('an attempt without a complete response', () => {
	it('may have crashed its server only if that closed the connection without a response', () => {
		expect(wasConnectionLost({})).toEqual(true);
		expect(wasConnectionLost({wasSent: false})).toEqual(false);
		expect(wasConnectionLost({wasClosedByServer: false})).toEqual(false);
		expect(wasConnectionLost({}, true)).toEqual(false);
	});
});

function createLoad(
	running: number,
	waiting: number,
	slots?: number,
	workTimePercent?: number,
): ReportedLoad {
	return {running, waiting, slots, workTimePercent};
}
