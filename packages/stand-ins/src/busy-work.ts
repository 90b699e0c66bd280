import type {Clock, Milliseconds} from '@parsleyvale/shared';

/** Occupies the processor for a span, as real work would. */
export function runBusily(clock: Clock, span: Milliseconds): void {
	const end = clock.now() + span;
	while (clock.now() < end) {
		// Nothing else may run meanwhile.
	}
}
