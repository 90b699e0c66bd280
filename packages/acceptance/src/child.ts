import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A child process that printed one line of JSON, its ready message, once it was listening. */
export class Child<Message> {
	readonly readyMessage: Message;
	readonly #process: ChildProcess;
	readonly #exited: Promise<number | undefined>;

	/** @internal */
	constructor(child: ChildProcess, message: Message) {
		this.#process = child;
		this.readyMessage = message;
		this.#exited = new Promise((resolve) => {
			child.once('exit', (code) => {
				resolve(code ?? undefined);
			});
		});
	}

	get processId(): number {
		return this.#process.pid!;
	}

	get isRunning(): boolean {
		return this.#process.exitCode === null && this.#process.signalCode === null;
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

	/** Kills the process immediately, even if it is stopped by SIGSTOP. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		this.signal('SIGCONT');
		await this.#exited;
	}
}

/** Starts a compiled program with options of Node.js and waits for its ready message. */
export async function startChild<Message>(
	program: string,
	parameters: readonly string[],
	nodeOptions: readonly string[] = [],
): Promise<Child<Message>> {
	const child = spawn(
		process.execPath,
		[...nodeOptions, program, ...parameters],
		{stdio: ['ignore', 'pipe', process.env.FLEET_LOGS ? 'inherit' : 'ignore']},
	);
	const output = createInterface({input: child.stdout});
	const message = await Promise.race([
		readJsonLine<Message>(output),
		once(child, 'exit'),
	]);
	if (Array.isArray(message)) {
		throw new TypeError(`${program} exited before it was listening.`);
	}

	return new Child(child, message);
}

async function readJsonLine<Message>(
	output: AsyncIterable<string> & NodeJS.EventEmitter,
): Promise<Message> {
	return new Promise((resolve) => {
		const onLine = (line: string) => {
			// Log lines may precede the ready message.
			if (line.startsWith('{')) {
				output.off('line', onLine);
				resolve(JSON.parse(line) as Message);
			}
		};

		output.on('line', onLine);
	});
}
