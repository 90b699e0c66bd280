import * as z from 'zod';
import {isWrite, type CallKind} from './object-store-call.js';

/** A fault to inject into the object store, set through a control call. */
export const objectStoreFaultsSchema = z.strictObject({
	mode: z.enum(['none', 'down', 'slow', 'lose-answers', 'stale-reads']),
	/** Additional latency in mode `slow`. */
	delayMs: z.number().min(0).default(1000),
	/** Time until a change of the host list is published; unchanged if omitted. */
	listLagMs: z.number().min(0).optional(),
	/** Number of calls to affect before the fault is cleared; unlimited if omitted. */
	count: z.int().positive().optional(),
});

export type ObjectStoreFaults = z.infer<typeof objectStoreFaultsSchema>;
export type ObjectStoreFaultMode = ObjectStoreFaults['mode'];

/** Holds the active fault and clears it after its `count` of calls. */
export class ObjectStoreFaultInjector {
	#faults: ObjectStoreFaults = objectStoreFaultsSchema.parse({mode: 'none'});

	get current(): ObjectStoreFaults {
		return this.#faults;
	}

	set(faults: ObjectStoreFaults): void {
		this.#faults = faults;
	}

	/** Returns the fault mode for a call of this kind and counts the call if it is affected. */
	take(kind: CallKind): ObjectStoreFaultMode {
		const {mode, count} = this.#faults;
		const isAffected = mode !== 'lose-answers' || isWrite(kind);
		if (count === undefined || !isAffected) {
			return mode;
		}

		this.#faults =
			count === 1
				? {...this.#faults, mode: 'none', count: undefined}
				: {...this.#faults, count: count - 1};
		return mode;
	}
}
