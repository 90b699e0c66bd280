import {once} from 'node:events';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const knownFailuresFile = 'KNOWN-RED.txt';
const maxConcurrentFiles = 4;
// Fails a test file that hangs, which would otherwise block the whole run.
const fileTimeoutMs = 240_000;
// Files that judge the memory of a process; they run one at a time after all others.
const isolatedSuffix = '.isolated.test.js';

function listTestFiles() {
	const pathFilters = process.argv.slice(2);
	return [
		path.resolve('platform', 'dist', '__tests__'),
		...readdirSync('packages').map((name) =>
			path.resolve('packages', name, 'dist', '__tests__'),
		),
	]
		.filter((directory) => existsSync(directory))
		.flatMap((directory) =>
			readdirSync(directory).map((name) => path.join(directory, name)),
		)
		.filter((file) => file.endsWith('.test.js'))
		.filter(
			(file) =>
				pathFilters.length === 0 ||
				pathFilters.some((filter) => file.includes(filter)),
		);
}

// Each entry starts with a line `test: <name>`; all other lines are ignored.
function readKnownFailures() {
	if (!existsSync(knownFailuresFile)) {
		return new Set();
	}

	const lines = readFileSync(knownFailuresFile, 'utf8').split('\n');
	return new Set(
		lines
			.filter((line) => line.startsWith('test: '))
			.map((line) => line.slice('test: '.length).trim()),
	);
}

const knownFailures = readKnownFailures();
const failedTests = [];
let executedCount = 0;

function handleResults(testEvents) {
	testEvents.on('test:pass', (event) => {
		executedCount += event.details.type === 'suite' ? 0 : 1;
	});
	testEvents.on('test:fail', (event) => {
		// A suite with failed subtests is not counted: each subtest reports itself.
		if (event.details.error?.failureType !== 'subtestsFailed') {
			executedCount++;
			failedTests.push(event.name);
		}
	});
}

async function runFiles(files, concurrency) {
	if (files.length === 0) {
		return;
	}

	const testEvents = run({files, concurrency, timeout: fileTimeoutMs});
	handleResults(testEvents);
	testEvents.compose(spec).pipe(process.stdout, {end: false});
	await once(testEvents, 'end');
}

function reportResults() {
	const expectedFailures = failedTests.filter((name) =>
		knownFailures.has(name),
	);
	const unexpectedFailures = failedTests.filter(
		(name) => !knownFailures.has(name),
	);
	for (const name of expectedFailures) {
		console.log(`known red, passed over: ${name}`);
	}

	for (const name of unexpectedFailures) {
		console.log(`failed: ${name}`);
	}

	if (executedCount === 0) {
		console.log('No test was executed; build first and check the names.');
	}

	process.exitCode =
		unexpectedFailures.length > 0 || executedCount === 0 ? 1 : 0;
}

const files = listTestFiles();
const isIsolated = (file) => file.endsWith(isolatedSuffix);
await runFiles(
	files.filter((file) => !isIsolated(file)),
	maxConcurrentFiles,
);
await runFiles(
	files.filter((file) => isIsolated(file)),
	1,
);
reportResults();
