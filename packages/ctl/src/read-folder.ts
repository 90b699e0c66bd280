import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {mergeFiles, type ConfigurationFile} from '@parsleyvale/configuration';
import type {Configuration} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {CtlError} from './ctl-error.js';

/** Reads the JSON files of a folder and merges them in the order of their names. */
export async function readFolder(
	folder: string,
): Promise<Result<Configuration, CtlError>> {
	try {
		const files = await readFiles(folder);
		return files.length === 0
			? Result.err(
					createFolderError(folder, 'The folder contains no .json files.'),
				)
			: mergeFiles(files).mapErr((problems) => ({
					kind: 'invalid-folder',
					problems,
				}));
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return Result.err(createFolderError(folder, reason));
	}
}

async function readFiles(folder: string): Promise<ConfigurationFile[]> {
	const names = await readdir(folder);
	const pendingFiles = names
		.filter((name) => name.endsWith('.json'))
		.sort()
		.map(async (name) => ({
			name,
			text: await readFile(path.join(folder, name), 'utf8'),
		}));
	return Promise.all(pendingFiles);
}

function createFolderError(folder: string, message: string): CtlError {
	return {
		kind: 'invalid-folder',
		problems: [{file: folder, field: '', message}],
	};
}
