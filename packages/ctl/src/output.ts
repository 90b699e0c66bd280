import process from 'node:process';
import {consola} from 'consola';

/** Destination of the output of commands. */
export abstract class Output {
	/** Writes a line of the result. */
	abstract write(line: string): void;

	/** Writes a line of an error message. */
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
