import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringHost} from './model.js';
import type {ServerChoice} from './placement/server-choice.js';

/** Excess over its rate and burst that a customer may get in a window. */
export type RateTolerance = {
	readonly windowDuration: Milliseconds;
	/** Fraction of the rate over the window and of the burst. */
	readonly fraction: number;
	/** Additional requests. */
	readonly requests: number;
};

/** This host and the bounds to enforce, as set by the operator's platform. */
export type SteeringSettings = {
	readonly self: SteeringHost;
	/** Failure domains and their regions. */
	readonly regions: ReadonlyMap<string, string>;
	/** Whether the whole fleet is starting for the first time. */
	readonly isFirstStart: boolean;
	/** A withdrawn key must stop working within this time. */
	readonly maximumWithdrawalDelay: Milliseconds;
	/** Retries allowed for each request, over the whole fleet. */
	readonly retryRatio: number;
	/** Additional retries allowed in each window. */
	readonly retryAllowance: number;
	readonly retryWindowDuration: Milliseconds;
	/** Applies to the sum over all hosts. */
	readonly rateTolerance: RateTolerance;
	/** Time within which a stop must complete. */
	readonly stopTimeout: Milliseconds;
	/** Whether overload control and even load are in force. */
	readonly isLoadControlRequired: boolean;
	/** How a server is chosen among those that can take a request, where load control is enabled; undefined: the default. */
	readonly serverChoice?: ServerChoice;
	/** Uniform numbers from 0 to below 1. */
	readonly random: () => number;
};
