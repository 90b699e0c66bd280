import type {Writable} from 'node:stream';
import {createConsola, type ConsolaInstance} from 'consola/core';
import type {Clock, Milliseconds} from '@parsleyvale/shared';

/**
 * Priority of a line, highest first: state changes, failures, requests. Under
 * load, lines of lower priority are dropped first.
 */
export type LogPriority = 'belief' | 'failure' | 'request';

export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined>
>;

export type LogWriterOptions = {
	readonly output: Writable;
	readonly clock: Clock;
	/** Name of this host, written into each line. */
	readonly host: string;
	/** Refill rate of the byte budget, which holds at most one second's worth. */
	readonly bytesPerSecond: number;
	/** Bytes that may be buffered while the output is not read. */
	readonly maximumUnread: number;
};

/** Fraction of the byte budget that lines of each priority may use. */
const usableFractions: Readonly<Record<LogPriority, number>> = {
	belief: 1,
	failure: 0.8,
	request: 0.5,
};

/**
 * Writes JSON lines within a byte budget and never blocks: lines that do not fit
 * are dropped, and the next line written reports how many.
 */
export class LogWriter {
	readonly #options: LogWriterOptions;
	readonly #consola: ConsolaInstance;
	#formattedLine = '';
	#availableBytes: number;
	#lastRefillAt: Milliseconds;
	#unreportedCount = 0;
	#droppedCount = 0;

	constructor(options: LogWriterOptions) {
		this.#options = options;
		this.#availableBytes = options.bytesPerSecond;
		this.#lastRefillAt = options.clock.now();
		this.#consola = createConsola({
			level: 3,
			throttle: 0,
			reporters: [
				{
					log: ({date, args}) => {
						const [message, fields] = args as [string, LogFields];
						this.#formattedLine = this.#format(date, message, fields);
					},
				},
			],
		});
		options.output.on('error', () => {
			// An unhandled error of the output would terminate the process. The lost line
			// counts as dropped.
			this.#droppedCount += 1;
		});
	}

	/** Number of lines dropped so far. */
	get dropped(): number {
		return this.#droppedCount;
	}

	/** Writes one line, or drops it if it exceeds the budget of its priority. */
	log(priority: LogPriority, message: string, fields: LogFields): void {
		this.#refill();
		const {output, bytesPerSecond, maximumUnread} = this.#options;
		const reservedBytes = bytesPerSecond * (1 - usableFractions[priority]);
		if (
			this.#availableBytes <= reservedBytes ||
			output.writableLength > maximumUnread
		) {
			this.#unreportedCount += 1;
			this.#droppedCount += 1;
			return;
		}

		const dropReport =
			this.#unreportedCount > 0 ? {dropped: this.#unreportedCount} : {};
		this.#unreportedCount = 0;
		this.#consola.info(message, {...fields, ...dropReport});
		this.#availableBytes -= this.#formattedLine.length;
		output.write(this.#formattedLine);
	}

	#refill(): void {
		const {clock, bytesPerSecond} = this.#options;
		const now = clock.now();
		const refillBytes = ((now - this.#lastRefillAt) / 1000) * bytesPerSecond;
		this.#availableBytes = Math.min(
			bytesPerSecond,
			this.#availableBytes + refillBytes,
		);
		this.#lastRefillAt = now;
	}

	#format(date: Date, message: string, fields: LogFields): string {
		const {host} = this.#options;
		const line = {time: date.toISOString(), host, message, ...fields};
		return `${JSON.stringify(line)}\n`;
	}
}

/**
 * Creates a writer of JSON lines.
 *
 * @example
 * const log = createLogWriter({...limits, output: process.stdout, clock, host});
 * log.log('belief', 'store lost', {reason: 'timeout'});
 */
export function createLogWriter(options: LogWriterOptions): LogWriter {
	return new LogWriter(options);
}
