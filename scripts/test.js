import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

const knownRedFile = 'KNOWN-RED.txt';
const testFilesAtOnce = 4;
// A file that hangs must fail and not hold the whole run up.
const longestFileMs = 240_000;

function listTestFiles() {
	const only = process.argv.slice(2);
	return [
		path.resolve('platform', 'dist', '__tests__'),
		...readdirSync('packages').map((name) =>
			path.resolve('packages', name, 'dist', '__tests__'),
		),
	]
		.filter((folder) => existsSync(folder))
		.flatMap((folder) =>
			readdirSync(folder).map((name) => path.join(folder, name)),
		)
		.filter((file) => file.endsWith('.test.js'))
		.filter(
			(file) => only.length === 0 || only.some((part) => file.includes(part)),
		);
}

// An entry is a line `test: <name>`; the lines under it are for people.
function readKnownRed() {
	if (!existsSync(knownRedFile)) {
		return new Set();
	}

	const lines = readFileSync(knownRedFile, 'utf8').split('\n');
	return new Set(
		lines
			.filter((line) => line.startsWith('test: '))
			.map((line) => line.slice('test: '.length).trim()),
	);
}

const knownRed = readKnownRed();
const failed = [];
let executed = 0;

const files = listTestFiles();
const stream = run({
	files,
	concurrency: testFilesAtOnce,
	timeout: longestFileMs,
});
stream.on('test:pass', (event) => {
	executed += event.details.type === 'suite' ? 0 : 1;
});
stream.on('test:fail', (event) => {
	// A suite fails only because a test of its own does.
	if (event.details.error?.failureType !== 'subtestsFailed') {
		executed++;
		failed.push(event.name);
	}
});
stream.compose(spec).pipe(process.stdout);
stream.on('end', () => {
	const passedOver = failed.filter((name) => knownRed.has(name));
	const unexpected = failed.filter((name) => !knownRed.has(name));
	for (const name of passedOver) {
		console.log(`known red, passed over: ${name}`);
	}

	for (const name of unexpected) {
		console.log(`failed: ${name}`);
	}

	if (executed === 0) {
		console.log('No test was executed; build first and check the names.');
	}

	process.exitCode = unexpected.length > 0 || executed === 0 ? 1 : 0;
});
