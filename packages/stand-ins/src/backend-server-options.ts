import type {Endpoint, Milliseconds} from '@parsleyvale/shared';

export type BackendServerOptions = Endpoint & {
	readonly name: string;
	readonly slots: number;
	/** Most connections open at once. */
	readonly connections: number;
	/** Requests that wait for a slot before the server sheds. */
	readonly queueLength: number;
	readonly serviceTime: Milliseconds;
	/** Processor time of a new connection. */
	readonly connectCost: Milliseconds;
	/** Processor time of a probe. */
	readonly probeCost: Milliseconds;
	/** How long after its start the server is slower than later. */
	readonly coldSpan: Milliseconds;
	/** How much slower it is at its start. */
	readonly coldFactor: number;
	/** Port of the control plane, on the same address. */
	readonly controlPort: number;
};

/** Options as a caller gives them: the rest has defaults. */
export type GivenBackendServerOptions = Endpoint & {
	readonly name: string;
} & Partial<BackendServerOptions>;

/** The options with defaults in place of those not given. */
export function createBackendServerOptions(
	given: GivenBackendServerOptions,
): BackendServerOptions {
	const slots = given.slots ?? 4;
	return {
		slots,
		queueLength: slots,
		connections: 330,
		serviceTime: 5,
		connectCost: 1,
		probeCost: 1,
		coldSpan: 0,
		coldFactor: 4,
		controlPort: 0,
		...given,
	};
}

/** How long the work on a request takes at an age of the server. */
export function computeServiceTime(
	{serviceTime, coldSpan, coldFactor}: BackendServerOptions,
	age: Milliseconds,
): Milliseconds {
	const coldness = coldSpan === 0 ? 0 : Math.max(0, 1 - age / coldSpan);
	return serviceTime * (1 + (coldFactor - 1) * coldness);
}
