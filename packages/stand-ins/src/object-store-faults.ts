import {z} from 'zod';
import {isWrite, type CallKind} from './object-store-call.js';

/** A fault of the object store, set on command. */
export const objectStoreFaultsSchema = z.strictObject({
	mode: z.enum(['none', 'down', 'slow', 'lose-answers', 'stale-reads']),
	/** Further latency in mode `slow`. */
	delayMs: z.number().min(0).default(1000),
	/** How long a change of the host list takes to show. */
	listLagMs: z.number().min(0).optional(),
	/** How many calls the fault meets before it ends by itself. */
	count: z.int().positive().optional(),
});

export type ObjectStoreFaults = z.infer<typeof objectStoreFaultsSchema>;
export type ObjectStoreFaultMode = ObjectStoreFaults['mode'];

/** The fault in force, counted down where it is bounded. */
export class ObjectStoreFaultSwitch {
	#faults: ObjectStoreFaults = objectStoreFaultsSchema.parse({mode: 'none'});

	get current(): ObjectStoreFaults {
		return this.#faults;
	}

	set(faults: ObjectStoreFaults): void {
		this.#faults = faults;
	}

	/** The fault that a call of this kind meets. */
	take(kind: CallKind): ObjectStoreFaultMode {
		const {mode, count} = this.#faults;
		const isMet = mode !== 'lose-answers' || isWrite(kind);
		if (count === undefined || !isMet) {
			return mode;
		}

		this.#faults =
			count === 1
				? {...this.#faults, mode: 'none', count: undefined}
				: {...this.#faults, count: count - 1};
		return mode;
	}
}
