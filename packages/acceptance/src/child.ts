import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A process of the fleet, which printed one line of JSON when it listened. */
export class Child<Line> {
	readonly line: Line;
	readonly #process: ChildProcess;
	readonly #exited: Promise<number | undefined>;

	/** @internal */
	constructor(child: ChildProcess, line: Line) {
		this.#process = child;
		this.line = line;
		this.#exited = new Promise((resolve) => {
			child.once('exit', (code) => {
				resolve(code ?? undefined);
			});
		});
	}

	/** Sends a signal to this process alone. */
	signal(name: NodeJS.Signals): void {
		this.#process.kill(name);
	}

	/** The exit code; undefined when a signal ended the process. */
	async waitForExit(): Promise<number | undefined> {
		return this.#exited;
	}

	/** Stops gracefully and waits for the exit code. */
	async stop(): Promise<number | undefined> {
		this.signal('SIGTERM');
		return this.#exited;
	}

	/** Ends the process without notice. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		this.signal('SIGCONT');
		await this.#exited;
	}
}

/** Starts a compiled program and waits for its line. */
export async function startChild<Line>(
	program: string,
	parameters: readonly string[],
): Promise<Child<Line>> {
	const child = spawn(process.execPath, [program, ...parameters], {
		stdio: ['ignore', 'pipe', process.env.FLEET_LOGS ? 'inherit' : 'ignore'],
	});
	const lines = createInterface({input: child.stdout});
	const line = await Promise.race([
		readJsonLine<Line>(lines),
		once(child, 'exit'),
	]);
	if (Array.isArray(line)) {
		throw new TypeError(`${program} ended before it listened.`);
	}

	return new Child(child, line);
}

async function readJsonLine<Line>(
	lines: AsyncIterable<string> & NodeJS.EventEmitter,
): Promise<Line> {
	return new Promise((resolve) => {
		const onLine = (line: string) => {
			// Logs may come before the line that tells the ports.
			if (line.startsWith('{')) {
				lines.off('line', onLine);
				resolve(JSON.parse(line) as Line);
			}
		};

		lines.on('line', onLine);
	});
}
