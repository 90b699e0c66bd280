import {readFile} from 'node:fs/promises';
import {createSystemClock, second} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import {AdministrationClient} from './administration-client.js';
import {exitCodes, formatError, type CtlError} from './ctl-error.js';
import type {Output} from './output.js';

/** Output of a command: a JSON value for scripts and text lines for people. */
export type Report = {
	readonly value: unknown;
	readonly lines: readonly string[];
};

/** The options of every command that calls entry hosts. */
export type ConnectionOptions = {
	readonly urls: readonly string[];
	readonly credentialFile: string;
	readonly timeoutSeconds: number;
	readonly json: boolean;
};

/** State shared by commands: the output and the exit code of the process. */
export class CommandContext {
	exitCode = 0;
	readonly #output: Output;

	constructor(output: Output) {
		this.#output = output;
	}

	/** Prints the result of a command and sets the exit code. */
	printResult(result: Result<Report, CtlError>, isJson: boolean): void {
		if (result.isErr) {
			this.#printError(result.error, isJson);
			return;
		}

		const {value, lines} = result.value;
		for (const line of isJson ? [JSON.stringify(value)] : lines) {
			this.#output.write(line);
		}
	}

	/** Runs a command against entry hosts and prints its result. */
	async run(
		options: ConnectionOptions,
		command: (
			client: AdministrationClient,
		) => Promise<Result<Report, CtlError>>,
	): Promise<void> {
		if (options.urls.length === 0) {
			const message = 'Specify at least one --url of an entry host';
			this.printResult(
				Result.err({kind: 'wrong-command-line', message}),
				options.json,
			);
			return;
		}

		const credential = await readCredential(options.credentialFile);
		if (credential.isErr) {
			this.printResult(Result.err(credential.error), options.json);
			return;
		}

		const client = new AdministrationClient({
			urls: options.urls,
			credential: credential.value,
			clock: createSystemClock(),
			timeout: options.timeoutSeconds * second,
		});
		try {
			this.printResult(await command(client), options.json);
		} finally {
			await client.close();
		}
	}

	#printError(error: CtlError, isJson: boolean): void {
		this.exitCode = exitCodes[error.kind];
		if (isJson) {
			this.#output.write(JSON.stringify({error}));
			return;
		}

		for (const line of formatError(error)) {
			this.#output.writeError(line);
		}
	}
}

async function readCredential(file: string): Promise<Result<string, CtlError>> {
	try {
		const text = await readFile(file, 'utf8');
		return Result.ok(text.trim());
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return Result.err({
			kind: 'not-authorized',
			message: `Cannot read the credential file: ${reason}`,
		});
	}
}
