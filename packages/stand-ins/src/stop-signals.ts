import process from 'node:process';

/** Calls `close` on SIGTERM or SIGINT. */
export function onStopSignal(close: () => Promise<void>): void {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void close();
		});
	}
}
