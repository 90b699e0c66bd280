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
	/** Folder of its settings file and its log. */
	readonly folder: string;
	readonly settings: Readonly<Record<string, unknown>>;
};

/** Processes that run; none is left behind when this process ends. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/** One daemon as a process of its own; it is ended by its id alone. */
export class DaemonProcess {
	/** Whether the soak wants it to run. */
	isWanted = false;
	isPaused = false;
	readonly #options: DaemonProcessOptions;
	#child: ChildProcess | undefined;
	#starts = 0;

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
		const text = JSON.stringify({...settings, first_start: this.#starts === 0});
		writeFileSync(file, text);
		this.#starts += 1;
		this.isWanted = true;
		this.isPaused = false;
		const child = spawn(process.execPath, [program, '--settings', file], {
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(this.logFile, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		running.add(child);
		child.once('close', () => {
			running.delete(child);
			log.end();
			if (this.#child === child) {
				this.#child = undefined;
			}
		});
		this.#child = child;
	}

	signal(name: NodeJS.Signals): void {
		this.#child?.kill(name);
		this.isPaused = name === 'SIGSTOP' || (this.isPaused && name !== 'SIGCONT');
	}

	/** Ends it, and waits until it is gone. */
	async end(name: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		this.isWanted = false;
		const child = this.#child;
		if (child === undefined) {
			return;
		}

		const closed = once(child, 'close');
		// A process that stands still takes no other signal.
		child.kill('SIGCONT');
		child.kill(name);
		await closed;
	}
}
