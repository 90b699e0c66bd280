import type {Endpoint, Milliseconds} from '@parsleyvale/shared';

export type BackendServerOptions = Endpoint & {
	readonly name: string;
	readonly slots: number;
	/** Maximum number of open connections. */
	readonly connections: number;
	/** Maximum number of requests waiting for a slot; further ones are shed. */
	readonly queueLength: number;
	readonly serviceTime: Milliseconds;
	/** CPU time that accepting a connection takes. */
	readonly connectCost: Milliseconds;
	/** CPU time that a health probe takes. */
	readonly probeCost: Milliseconds;
	/** Time after the start during which requests take longer. */
	readonly coldDuration: Milliseconds;
	/** Factor on the service time at the start; falls linearly to 1. */
	readonly coldFactor: number;
	/** Port of the control API, on the same address. */
	readonly controlPort: number;
};

/** Options of which only the endpoint and the name are required. */
export type PartialBackendServerOptions = Endpoint & {
	readonly name: string;
} & Partial<BackendServerOptions>;

/** Fills in defaults for the options that were omitted. */
export function createBackendServerOptions(
	options: PartialBackendServerOptions,
): BackendServerOptions {
	const slots = options.slots ?? 4;
	return {
		slots,
		queueLength: slots,
		connections: 330,
		serviceTime: 5,
		connectCost: 1,
		probeCost: 1,
		coldDuration: 0,
		coldFactor: 4,
		controlPort: 0,
		...options,
	};
}

/** Service time of a request when the server has been up for `uptime`. */
export function computeServiceTime(
	{serviceTime, coldDuration, coldFactor}: BackendServerOptions,
	uptime: Milliseconds,
): Milliseconds {
	const coldFraction =
		coldDuration === 0 ? 0 : Math.max(0, 1 - uptime / coldDuration);
	return serviceTime * (1 + (coldFactor - 1) * coldFraction);
}
