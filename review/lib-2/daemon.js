/* eslint-disable camelcase -- The fields of the platform's messages and settings use snake_case. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));
const folder = mkdtempSync(path.join(tmpdir(), 'parsleyvale-review-'));

/** Processes that run; none outlives this process. */
const children = new Set();
process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}

	rmSync(folder, {recursive: true, force: true});
});

/** The words of the command in the deploy file. */
function readCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]*)"$/m.exec(text).groups.command.split(' ');
}

/** Returns ports that are free on the address. */
async function findFreePorts(address, count) {
	const servers = Array.from({length: count}, () => createServer());
	await Promise.all(
		servers.map(async (server) => {
			server.listen(0, address);
			await once(server, 'listening');
		}),
	);
	const ports = servers.map((server) => server.address().port);
	await Promise.all(
		servers.map(async (server) => {
			server.close();
			await once(server, 'close');
		}),
	);
	return ports;
}

/** One process of the program, started by the command of the deploy file. */
export class Daemon {
	#child;
	#starts = 0;

	/** Options: `name`, `address`, `zone`, `zones`, `seeds`, `store`, `bounds`. */
	constructor(options) {
		this.options = options;
	}

	async start() {
		const {name, address, zone, zones, seeds, store, bounds} = this.options;
		this.ports ??= await findFreePorts(address, 5);
		const [front, ready, directory, control, internal] = this.ports;
		this.#starts += 1;
		const settings = {
			node_name: name,
			role: 'entry',
			machine_class: 'front',
			serves: ['front', 'directory'],
			ip: address,
			zone,
			region: zones[zone],
			zones,
			listen: {
				front: `${address}:${front}`,
				ready: `${address}:${ready}`,
				control: `${address}:${control}`,
				directory: `${address}:${directory}`,
			},
			internal_ports: [internal, internal],
			seeds,
			first_start: this.#starts === 1,
			counts_toward_loss: false,
			limits: {
				cpu_share: 0.54,
				cores: 1,
				memory_mb: 350,
				max_fds: 4100,
				link_mbps: 1000,
				disk_mb: 0,
			},
			data_dir: null,
			discovery: 'platform',
			entry: 'directory',
			heartbeat_s: 1.5,
			contracts: [
				'base',
				'drain',
				'config',
				'cost',
				'retry',
				'recover',
				'places',
				'tenants',
				'quota',
				'platform',
			],
			fault_tolerance: {machines: 1, zones: 1, regions: 1},
			bounds,
			platform: {
				address: store,
				form: 'objects',
				writes_per_s: 400,
				reads_per_s: 2000,
				history_s: 20,
				value_bytes: 1_048_576,
				ttl_min_s: 1,
			},
		};
		const file = path.join(folder, `${name}.json`);
		writeFileSync(file, JSON.stringify(settings));
		const [program, ...words] = readCommand();
		const child = spawn(program, words, {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				PARSLEYVALE_CONFIG: file,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child = child;
		children.add(child);
		child.once('exit', () => {
			children.delete(child);
		});
		this.logFile = path.join(folder, `${name}.log`);
		const log = createWriteStream(this.logFile, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		child.once('close', () => {
			log.end();
		});
		this.exit = once(child, 'exit');
		await this.#waitUntilReady();
		return this;
	}

	get front() {
		return {host: this.options.address, port: this.ports[0]};
	}

	signal(name) {
		this.#child.kill(name);
	}

	async close() {
		if (this.#child?.exitCode === null && this.#child.signalCode === null) {
			this.#child.kill('SIGCONT');
			this.#child.kill('SIGKILL');
			await this.exit;
		}
	}

	async #waitUntilReady() {
		for (let tries = 0; tries < 200; tries += 1) {
			if ((await this.#readStatus()) === 200) {
				return;
			}

			await wait(50);
		}

		throw new Error(`${this.options.name} isn't ready`);
	}

	async #readStatus() {
		return new Promise((resolve) => {
			const request = get(
				{
					host: this.options.address,
					port: this.ports[1],
					path: '/api/ready',
					agent: false,
				},
				(response) => {
					response.resume();
					resolve(response.statusCode);
				},
			);
			request.on('error', () => {
				resolve(undefined);
			});
		});
	}
}
