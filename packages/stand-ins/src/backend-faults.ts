import {z} from 'zod';

/** A fault of a backend server, set on command. */
export const backendFaultsSchema = z.strictObject({
	mode: z.enum([
		'none',
		/** The answer breaks off in the middle of its body. */
		'cut',
		/** The answer is one to another request. */
		'crossed',
		/** The answer comes long after the deadline. */
		'late',
		/** An answer to another request follows, unasked. */
		'extra',
		/** The answer says more bytes than come. */
		'false-length',
		/** The connection closes, without an answer, after the whole body. */
		'die-after-body',
		/** The server refuses the request before beginning. */
		'refuse',
		/** The answer does not echo the request id. */
		'no-echo',
		/** No answer comes. */
		'hang',
		/** The answer comes twice. */
		'double',
	]),
	/** How much later than the deadline an answer is in mode `late`. */
	delayMs: z.number().min(0).default(500),
	/** How many requests the fault meets before it ends by itself. */
	count: z.int().positive().optional(),
});

export type BackendFaults = z.infer<typeof backendFaultsSchema>;
export type BackendFaultMode = BackendFaults['mode'];

/** The fault in force, counted down where it is bounded. */
export class FaultSwitch {
	#faults: BackendFaults = backendFaultsSchema.parse({mode: 'none'});

	set(faults: BackendFaults): void {
		this.#faults = faults;
	}

	/** The fault that the next request meets. */
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
