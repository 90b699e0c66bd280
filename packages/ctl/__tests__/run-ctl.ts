import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Output, runCtl} from '../src/index.js';
import type {FakeAdministration} from './fake-administration.js';

export type RunResult = {
	readonly code: number;
	readonly lines: readonly string[];
	readonly errors: readonly string[];
};

class RecordingOutput extends Output {
	readonly lines: string[] = [];
	readonly errors: string[] = [];

	write(line: string): void {
		this.lines.push(line);
	}

	writeError(line: string): void {
		this.errors.push(line);
	}
}

/** A temporary folder; `close` deletes it and its files. */
export class TemporaryFolder {
	constructor(readonly path: string) {}

	async write(name: string, value: unknown): Promise<string> {
		const file = path.join(this.path, name);
		const content = typeof value === 'string' ? value : JSON.stringify(value);
		await writeFile(file, content);
		return file;
	}

	async close(): Promise<void> {
		await rm(this.path, {recursive: true});
	}
}

export async function createTemporaryFolder(): Promise<TemporaryFolder> {
	return new TemporaryFolder(
		await mkdtemp(path.join(tmpdir(), 'parsleyvalectl-')),
	);
}

export async function runCommandLine(...args: string[]): Promise<RunResult> {
	const output = new RecordingOutput();
	const code = await runCtl(args, output);
	return {code, lines: output.lines, errors: output.errors};
}

/** Runs a command against entry hosts, which are tried in this order. */
export async function runAgainstHosts(
	hosts: readonly FakeAdministration[],
	folder: TemporaryFolder,
	...args: string[]
): Promise<RunResult> {
	const credential = hosts[0]?.credential ?? 'none';
	const file = await folder.write('credential.txt', credential);
	const urls = hosts.flatMap(({url}) => ['--url', url]);
	return runCommandLine(...args, ...urls, '--credential-file', file);
}
