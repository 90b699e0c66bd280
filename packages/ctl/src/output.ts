import process from 'node:process';
import {consola} from 'consola';

/** Where a command writes what it has to say. */
export abstract class Output {
	/** Writes one line of the result. */
	abstract write(line: string): void;

	/** Writes one line about a failure. */
	abstract writeError(line: string): void;
}

class ConsoleOutput extends Output {
	write(line: string): void {
		process.stdout.write(`${line}\n`);
	}

	writeError(line: string): void {
		consola.error(line);
	}
}

export function createConsoleOutput(): Output {
	return new ConsoleOutput();
}
