import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Output, runCtl} from '../src/index.js';
import type {FakeAdministration} from './fake-administration.js';

export type Run = {
	readonly code: number;
	readonly lines: readonly string[];
	readonly errors: readonly string[];
};

class LineOutput extends Output {
	readonly lines: string[] = [];
	readonly errors: string[] = [];

	write(line: string): void {
		this.lines.push(line);
	}

	writeError(line: string): void {
		this.errors.push(line);
	}
}

/** A folder of files that goes when it is closed. */
export class Folder {
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

export async function createFolder(): Promise<Folder> {
	return new Folder(await mkdtemp(path.join(tmpdir(), 'parsleyvalectl-')));
}

export async function runLocal(...args: string[]): Promise<Run> {
	const output = new LineOutput();
	const code = await runCtl(args, output);
	return {code, lines: output.lines, errors: output.errors};
}

/** Runs a command against entry hosts, tried in this order. */
export async function runAgainst(
	hosts: readonly FakeAdministration[],
	folder: Folder,
	...args: string[]
): Promise<Run> {
	const credential = hosts[0]?.credential ?? 'none';
	const file = await folder.write('credential.txt', credential);
	const urls = hosts.flatMap(({url}) => ['--url', url]);
	return runLocal(...args, ...urls, '--credential-file', file);
}
