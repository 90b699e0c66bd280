import type {Writable} from 'node:stream';
import {createConsola, type ConsolaInstance} from 'consola/core';
import type {Clock, Milliseconds} from '@parsleyvale/shared';

/** Which lines are kept when not all can be: the first ones first. */
export type LogWeight = 'belief' | 'failure' | 'request';

export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined>
>;

export type LogWriterOptions = {
	readonly output: Writable;
	readonly clock: Clock;
	/** Written into each line. */
	readonly host: string;
	/** Bytes a second, on average over the last second. */
	readonly bytesPerSecond: number;
	/** Bytes that may wait for a reader that does not read. */
	readonly maximumUnread: number;
};

/** Parts of the budget that lines of each weight may use up. */
const usableParts: Readonly<Record<LogWeight, number>> = {
	belief: 1,
	failure: 0.8,
	request: 0.5,
};

/**
 * Writes JSON lines within a budget and never waits for the reader: what does
 * not fit is dropped, counted, and told in the next line that fits.
 */
export class LogWriter {
	readonly #options: LogWriterOptions;
	readonly #consola: ConsolaInstance;
	#line = '';
	#budget: number;
	#refilledAt: Milliseconds;
	#dropped = 0;
	#droppedInAll = 0;

	constructor(options: LogWriterOptions) {
		this.#options = options;
		this.#budget = options.bytesPerSecond;
		this.#refilledAt = options.clock.now();
		this.#consola = createConsola({
			level: 3,
			throttle: 0,
			reporters: [
				{
					log: ({date, args}) => {
						const [message, fields] = args as [string, LogFields];
						this.#line = this.#format(date, message, fields);
					},
				},
			],
		});
		options.output.on('error', () => {
			// A closed log must not end the process; the lines count as dropped.
			this.#droppedInAll += 1;
		});
	}

	/** Lines that were not written. */
	get dropped(): number {
		return this.#droppedInAll;
	}

	/** Writes one line, or counts it as dropped. */
	log(weight: LogWeight, message: string, fields: LogFields): void {
		this.#refill();
		const {output, bytesPerSecond, maximumUnread} = this.#options;
		const floor = bytesPerSecond * (1 - usableParts[weight]);
		if (this.#budget <= floor || output.writableLength > maximumUnread) {
			this.#dropped += 1;
			this.#droppedInAll += 1;
			return;
		}

		const told = this.#dropped > 0 ? {dropped: this.#dropped} : {};
		this.#dropped = 0;
		this.#consola.info(message, {...fields, ...told});
		this.#budget -= this.#line.length;
		output.write(this.#line);
	}

	#refill(): void {
		const {clock, bytesPerSecond} = this.#options;
		const now = clock.now();
		const refill = ((now - this.#refilledAt) / 1000) * bytesPerSecond;
		this.#budget = Math.min(bytesPerSecond, this.#budget + refill);
		this.#refilledAt = now;
	}

	#format(date: Date, message: string, fields: LogFields): string {
		const {host} = this.#options;
		const line = {time: date.toISOString(), host, message, ...fields};
		return `${JSON.stringify(line)}\n`;
	}
}

/**
 * A writer of JSON lines.
 *
 * @example
 * const log = createLogWriter({...limits, output: process.stdout, clock, host});
 * log.log('belief', 'store lost', {reason: 'timeout'});
 */
export function createLogWriter(options: LogWriterOptions): LogWriter {
	return new LogWriter(options);
}
