import {readdirSync, readFileSync} from 'node:fs';

const bytesPerKibibyte = 1024;

/** The highest resident memory of a process so far; Linux only. */
export function readPeakResidentBytes(processId: number): number {
	const status = readFileSync(`/proc/${processId}/status`, 'utf8');
	return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1]) * bytesPerKibibyte;
}

/** The open file descriptors of a process; Linux only. */
export function countDescriptors(processId: number): number {
	return readdirSync(`/proc/${processId}/fd`).length;
}
