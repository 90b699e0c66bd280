import path from 'node:path';
import process from 'node:process';
import {Demo} from './demo.js';
import {createFleet} from './fleet.js';

const fleet = createFleet();
try {
	const demo = new Demo(fleet, (line) => {
		console.log(line);
	});
	const findings = await demo.run(path.resolve('examples', 'hanlin'));
	console.log('\nWhat held:');
	for (const {promise, seen, held} of findings) {
		console.log(`  ${held ? 'held  ' : 'BROKEN'}  ${promise} (${seen})`);
	}

	process.exitCode = findings.every(({held}) => held) ? 0 : 1;
} finally {
	await fleet.close();
}
