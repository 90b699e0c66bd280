import process from 'node:process';
import {command, number, option, run, string} from 'cmd-ts';
import {createBackendServer} from './backend-server.js';
import {onStopSignal} from './stop-signals.js';

function createNumberOption(long: string, defaultValue: number) {
	return option({type: number, long, defaultValue: () => defaultValue});
}

const backendServerCommand = command({
	name: 'backend-server',
	description: 'A backend server for tests that logs its executions',
	args: {
		name: option({type: string, long: 'name'}),
		address: option({
			type: string,
			long: 'address',
			defaultValue: () => '127.0.0.1',
		}),
		port: createNumberOption('port', 0),
		controlPort: createNumberOption('control-port', 0),
		slots: createNumberOption('slots', 4),
		queueLength: createNumberOption('queue', 4),
		connections: createNumberOption('connections', 330),
		serviceTime: createNumberOption('service-ms', 5),
		connectCost: createNumberOption('connect-cost-ms', 1),
		probeCost: createNumberOption('probe-cost-ms', 1),
		coldDuration: createNumberOption('cold-ms', 0),
		coldFactor: createNumberOption('cold-factor', 4),
	},
	async handler(args) {
		const server = await createBackendServer(args);
		onStopSignal(async () => {
			await server.close();
		});
		const readyMessage = {
			name: args.name,
			...server.endpoint,
			controlPort: server.controlEndpoint.port,
		};
		process.stdout.write(`${JSON.stringify(readyMessage)}\n`);
	},
});

await run(backendServerCommand, process.argv.slice(2));
