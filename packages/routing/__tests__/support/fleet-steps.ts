import fc from 'fast-check';
import type {AttemptOutcome} from '@parsleyvale/kernel';
import type {Configuration, Drain, Shift} from '@parsleyvale/shared';
import {createTestConfiguration} from './test-configuration.js';

export const hostCount = 4;
export const shiftCap = {perSecond: 4, burst: 3};

const shift: Shift = {
	name: 'to-sin',
	pool: 'reader-desk',
	from: 'tpe',
	to: 'sin',
	share: 0.7,
	capPerSecond: shiftCap.perSecond,
	capBurst: shiftCap.burst,
	rampMs: 0,
	state: 'running',
};

const drainTargets: ReadonlyArray<Drain['target']> = [
	{kind: 'server', name: 'tpe-a-0'},
	{kind: 'failure-domain', region: 'tpe', name: 'tpe-a'},
	{kind: 'region', name: 'sin'},
];

/** Configurations that the fuzzing switches between. */
export const configurations: readonly Configuration[] = [
	createSmallConfiguration([], []),
	createSmallConfiguration([], [shift]),
	...drainTargets.map((target) =>
		createSmallConfiguration(
			[{name: 'drain', target, state: 'running'}],
			[shift],
		),
	),
];

/** A step of a fuzzing run. */
export type Step =
	| {readonly type: 'choose'; readonly host: number; readonly isRetry: boolean}
	| {
			readonly type: 'end';
			readonly index: number;
			readonly outcome: AttemptOutcome;
			readonly isDuplicated: boolean;
	  }
	| {readonly type: 'configure'; readonly index: number}
	| {readonly type: 'leave'; readonly names: string[]}
	| {readonly type: 'advance'; readonly span: number};

const outcomeArbitrary = fc.oneof(
	{weight: 4, arbitrary: fc.constant<AttemptOutcome>('answered')},
	{weight: 3, arbitrary: fc.constant<AttemptOutcome>('unknown')},
	{
		weight: 2,
		arbitrary: fc.constantFrom<AttemptOutcome>(
			'not-sent',
			'not-sent',
			'refused',
			'cut',
			'cancelled',
		),
	},
);

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 12,
		arbitrary: fc.record({
			type: fc.constant('choose' as const),
			host: fc.nat(hostCount - 1),
			isRetry: fc.boolean(),
		}),
	},
	{
		weight: 8,
		arbitrary: fc.record({
			type: fc.constant('end' as const),
			index: fc.nat(30),
			outcome: outcomeArbitrary,
			isDuplicated: fc.boolean(),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('configure' as const),
			index: fc.nat(configurations.length - 1),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('leave' as const),
			names: fc.subarray(['tpe-b-0', 'fra-a-0']),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			type: fc.constant('advance' as const),
			span: fc.constantFrom(1, 20, 100, 400, 1500),
		}),
	},
);

export const stepsArbitrary = fc.array(stepArbitrary, {
	minLength: 20,
	maxLength: 120,
	size: 'max',
});

function createSmallConfiguration(
	drains: readonly Drain[],
	shifts: readonly Shift[],
) {
	return createTestConfiguration({
		serversPerDomain: 1,
		slots: 2,
		drains,
		shifts,
	});
}
