import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringHost} from './model.js';

export type RateTolerance = {
	readonly window: Milliseconds;
	/** Part of the rate over the window and of the burst. */
	readonly part: number;
	/** Requests besides. */
	readonly requests: number;
};

/** What an operator's platform says of this host and of the bounds to keep. */
export type SteeringSettings = {
	readonly self: SteeringHost;
	/** Failure domains and their regions. */
	readonly regions: ReadonlyMap<string, string>;
	/** Whether the whole fleet starts for the first time. */
	readonly isFirstStart: boolean;
	/** A withdrawn key must stop working within this time. */
	readonly revocationBound: Milliseconds;
	/** Repeats that are allowed for each request, over the whole fleet. */
	readonly repeatRatio: number;
	/** Repeats that are allowed besides, in each window. */
	readonly repeatAllowance: number;
	readonly repeatWindow: Milliseconds;
	/** What a customer may get beyond its rate and burst in a window, over the whole fleet. */
	readonly rateTolerance: RateTolerance;
	/** Time in which a stop must be over. */
	readonly stopBound: Milliseconds;
	/** Uniform numbers from 0 to below 1. */
	readonly random: () => number;
};
