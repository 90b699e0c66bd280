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
	console.log('\nGuarantees checked:');
	for (const {guarantee, observed, isHeld} of findings) {
		console.log(
			`  ${isHeld ? 'held  ' : 'BROKEN'}  ${guarantee} (${observed})`,
		);
	}

	process.exitCode = findings.every(({isHeld}) => isHeld) ? 0 : 1;
} finally {
	await fleet.close();
}
