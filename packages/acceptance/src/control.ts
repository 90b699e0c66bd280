import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const runFile = promisify(execFile);

export type ControlOptions = {
	/** URLs of the entry hosts' administration APIs, in the order to try them. */
	readonly urls: readonly string[];
	readonly credentialFile: string;
};

/** Runs the operators' command-line tool as a child process. */
export class Control {
	readonly #options: ControlOptions;
	readonly #program = path.join(
		path.dirname(fileURLToPath(import.meta.resolve('@parsleyvale/ctl'))),
		'main.js',
	);

	constructor(options: ControlOptions) {
		this.#options = options;
	}

	/** Returns the standard output; throws if the exit code is not 0. */
	async run(...parameters: readonly string[]): Promise<string> {
		const {urls, credentialFile} = this.#options;
		const {stdout} = await runFile(process.execPath, [
			this.#program,
			...parameters,
			...urls.flatMap((url) => ['--url', url]),
			'--credential-file',
			credentialFile,
			'--json',
		]);
		return stdout;
	}
}
