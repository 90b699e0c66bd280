import process from 'node:process';

/** Closes what a stand-in holds when the process is told to stop. */
export function onStopSignal(close: () => Promise<void>): void {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void close();
		});
	}
}
