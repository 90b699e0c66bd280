import * as z from 'zod';

/** A fault to inject into a backend server, set through the control API. */
export const backendFaultsSchema = z.strictObject({
	mode: z.enum([
		'none',
		/** The response is truncated in the middle of its body. */
		'cut',
		/** The response carries the id of another request. */
		'crossed',
		/** The response is sent after the deadline. */
		'late',
		/** A second response, with the id of another request, follows the first. */
		'extra',
		/** Content-Length is greater than the number of bytes sent. */
		'false-length',
		/** The connection closes without a response after the whole request body was read. */
		'die-after-body',
		/** The server refuses the request without executing it. */
		'refuse',
		/** The response does not echo the request id. */
		'no-echo',
		/** No response is sent. */
		'hang',
		/** The response is sent twice. */
		'double',
	]),
	/** Time between the deadline and the response in mode `late`. */
	delayMs: z.number().min(0).default(500),
	/** Number of requests to affect before the fault is cleared; unlimited if omitted. */
	count: z.int().positive().optional(),
});

export type BackendFaults = z.infer<typeof backendFaultsSchema>;
export type BackendFaultMode = BackendFaults['mode'];

/** Holds the active fault and clears it after its `count` of requests. */
export class BackendFaultInjector {
	#faults: BackendFaults = backendFaultsSchema.parse({mode: 'none'});

	set(faults: BackendFaults): void {
		this.#faults = faults;
	}

	/** Returns the fault for the next request and counts it. */
	take(): BackendFaults {
		const faults = this.#faults;
		if (faults.count === 1) {
			this.#faults = {...faults, mode: 'none', count: undefined};
		} else if (faults.count !== undefined) {
			this.#faults = {...faults, count: faults.count - 1};
		}

		return faults;
	}
}
