import process from 'node:process';
import {command, number, option, run, string} from 'cmd-ts';
import {createObjectStore} from './object-store.js';
import {onStopSignal} from './stop-signals.js';

const objectStoreCommand = command({
	name: 'object-store',
	description:
		"An in-memory implementation of the platform's object API, for tests",
	args: {
		port: option({
			type: number,
			long: 'port',
			description: '0 lets the operating system pick a free port',
			defaultValue: () => 0,
		}),
		address: option({
			type: string,
			long: 'address',
			defaultValue: () => '127.0.0.1',
		}),
		writesPerSecond: option({
			type: number,
			long: 'writes-per-second',
			defaultValue: () => 300,
		}),
		readsPerSecond: option({
			type: number,
			long: 'reads-per-second',
			defaultValue: () => 2000,
		}),
		latency: option({
			type: number,
			long: 'latency-ms',
			defaultValue: () => 2,
		}),
	},
	async handler(args) {
		const store = await createObjectStore(args);
		onStopSignal(async () => {
			await store.close();
		});
		process.stdout.write(`${JSON.stringify(store.endpoint)}\n`);
	},
});

await run(objectStoreCommand, process.argv.slice(2));
