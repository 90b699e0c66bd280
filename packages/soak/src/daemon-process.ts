import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const program = fileURLToPath(
	new URL('../../../../platform/dist/src/main.js', import.meta.url),
);

export type DaemonProcessOptions = {
	readonly name: string;
	/** Folder for the settings file and the log. */
	readonly folder: string;
	readonly settings: Readonly<Record<string, unknown>>;
};

/** Child processes that are killed when this process exits. */
const runningProcesses = new Set<ChildProcess>();
process.once('exit', () => {
	for (const child of runningProcesses) {
		child.kill('SIGKILL');
	}
});

/** A daemon running as a child process; signals are sent to its process id only. */
export class DaemonProcess {
	/** Whether the process was started and not terminated by the soak. */
	isExpectedToRun = false;
	isPaused = false;
	readonly #options: DaemonProcessOptions;
	#child: ChildProcess | undefined;
	#startCount = 0;

	constructor(options: DaemonProcessOptions) {
		this.#options = options;
	}

	get name(): string {
		return this.#options.name;
	}

	get logFile(): string {
		return path.join(this.#options.folder, `${this.name}.log`);
	}

	start(): void {
		const {folder, settings} = this.#options;
		const file = path.join(folder, `${this.name}.json`);
		const text = JSON.stringify({
			...settings,
			first_start: this.#startCount === 0,
		});
		writeFileSync(file, text);
		this.#startCount += 1;
		this.isExpectedToRun = true;
		this.isPaused = false;
		const child = spawn(process.execPath, [program, '--settings', file], {
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(this.logFile, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		runningProcesses.add(child);
		child.once('close', () => {
			runningProcesses.delete(child);
			log.end();
			if (this.#child === child) {
				this.#child = undefined;
			}
		});
		this.#child = child;
	}

	signal(signalName: NodeJS.Signals): void {
		this.#child?.kill(signalName);
		this.isPaused =
			signalName === 'SIGSTOP' || (this.isPaused && signalName !== 'SIGCONT');
	}

	/** Terminates the process and waits until it has exited. */
	async terminate(signalName: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		this.isExpectedToRun = false;
		const child = this.#child;
		if (child === undefined) {
			return;
		}

		const closed = once(child, 'close');
		// A stopped process handles SIGTERM only after SIGCONT.
		child.kill('SIGCONT');
		child.kill(signalName);
		await closed;
	}
}
