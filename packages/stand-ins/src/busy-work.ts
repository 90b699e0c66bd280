import type {Clock, Milliseconds} from '@parsleyvale/shared';

/** Busy-waits, so that the event loop is blocked as by CPU-bound work. */
export function blockEventLoop(clock: Clock, duration: Milliseconds): void {
	const endsAt = clock.now() + duration;
	while (clock.now() < endsAt) {
		// Busy-wait.
	}
}
