import {get} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import type {Clock, Endpoint, Milliseconds} from '@parsleyvale/shared';
import {
	createConfiguration,
	createEntry,
	evacuated,
	findFailureDomain,
	toSettings,
} from './deployment.js';
import {DaemonProcess} from './daemon-process.js';
import {FaultyLink} from './faulty-link.js';
import {ServerStandIn, type Execution} from './server-stand-in.js';
import {StoreStandIn} from './store-stand-in.js';

const host = '127.0.0.1';
const portsOfDaemon = 4;
/** Daemons have addresses of their own, so that a connection that goes out cannot take a port between two starts. */
const daemonNetwork = '127.77';
const addressesOfPart = 250;
/** A daemon that finds the store away is not ready until it is back. */
const longestStart: Milliseconds = 15_000;
const readinessInterval: Milliseconds = 50;
/** One-way delay of a slow link: more than between two regions. */
const slowDelay: Milliseconds = 150;

export type FleetOptions = {
	readonly clock: Clock;
	readonly folder: string;
	readonly daemons: number;
	readonly servers: number;
	/** Runs side by side have different ones. */
	readonly seed: number;
};

export type Daemon = {
	readonly process: DaemonProcess;
	readonly callers: Endpoint;
	readonly readiness: Endpoint;
	readonly toStore: FaultyLink;
};

export type Backend = {
	readonly server: ServerStandIn;
	readonly link: FaultyLink;
};

/** A store, backend servers and daemons, with a faulty link between any two. */
export class Fleet {
	readonly store = new StoreStandIn();
	readonly executions: Execution[] = [];
	readonly leftAt = new Map<string, Milliseconds>();
	readonly revokedAt = new Map<string, Milliseconds>();
	/** Ids of servers in the failure domain that is evacuated at times. */
	readonly evacuatedServers = new Set<string>();
	readonly daemons: Daemon[] = [];
	readonly backends: Backend[] = [];
	readonly #options: FleetOptions;
	readonly #gone: Backend[] = [];
	#version = 1;
	#serverCount = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
	}

	async start(): Promise<this> {
		await this.store.listen();
		this.writeConfiguration();
		for (let index = 0; index < this.#options.servers; index++) {
			this.backends.push(await this.#createBackend());
		}

		const network = `${daemonNetwork}.${this.#options.seed % addressesOfPart}`;
		for (let index = 0; index < this.#options.daemons; index++) {
			this.daemons.push(
				await this.#createDaemon(index, `${network}.${index + 1}`),
			);
		}

		return this;
	}

	/** Waits until the daemon says that it is ready; false when it does not in time. */
	async waitUntilReady({readiness}: Daemon): Promise<boolean> {
		const {clock} = this.#options;
		const end = clock.now() + longestStart;
		while (clock.now() < end) {
			if (await isReady(readiness)) {
				return true;
			}

			await wait(readinessInterval);
		}

		return false;
	}

	/** Ends every process and closes every socket of the fleet. */
	async close(): Promise<void> {
		await Promise.all(
			this.daemons.map(async ({process}) => process.end('SIGKILL')),
		);
		for (const {toStore} of this.daemons) {
			toStore.close();
		}

		for (const {server, link} of [...this.backends, ...this.#gone]) {
			server.close();
			link.close();
		}

		this.store.close();
	}

	/** A newer configuration, without the keys that are withdrawn. */
	writeConfiguration(): void {
		this.#version += 1;
		const withdrawn = new Set(this.revokedAt.keys());
		const value = createConfiguration(this.#version, withdrawn);
		this.store.put('config', 'main', value);
	}

	revoke(key: string): void {
		this.revokedAt.set(key, this.#options.clock.now());
		this.writeConfiguration();
	}

	/** Says that the server leaves; it serves until `endServer`. */
	drainServer(index: number): Backend {
		const backend = this.backends[index]!;
		const {id} = backend.server;
		this.store.put('servers', id, this.#toEntry(backend, 'draining'));
		this.leftAt.set(id, this.#options.clock.now());
		return backend;
	}

	/** Ends a server; its entry goes, and another server takes its place. */
	async replaceServer(backend: Backend): Promise<void> {
		backend.server.close();
		backend.link.close();
		this.#gone.push(backend);
		this.store.remove('servers', backend.server.id);
		const index = this.backends.indexOf(backend);
		if (index !== -1) {
			this.backends[index] = await this.#createBackend();
		}
	}

	async #createBackend(): Promise<Backend> {
		this.#serverCount += 1;
		const id = `i-${this.#serverCount}`;
		const {clock} = this.#options;
		const server = await new ServerStandIn(id, clock, this.executions).listen(
			host,
		);
		const link = await new FaultyLink({
			host,
			toHost: host,
			toPort: server.port,
			delay: slowDelay,
		}).listen();
		const backend = {server, link};
		if (findFailureDomain(this.#serverCount) === evacuated) {
			this.evacuatedServers.add(id);
		}

		this.store.put('servers', id, this.#toEntry(backend, 'ready'));
		return backend;
	}

	async #createDaemon(index: number, own: string): Promise<Daemon> {
		const ports = await reservePorts(own, portsOfDaemon);
		const [address, port] = this.store.address.split(':') as [string, string];
		const toStore = await new FaultyLink({
			host,
			toHost: address,
			toPort: Number(port),
			delay: slowDelay,
		}).listen();
		const name = `front-${index}`;
		const settings = toSettings({
			name,
			index,
			host: own,
			ports,
			store: `${host}:${toStore.port}`,
		});
		const {folder} = this.#options;
		const process = new DaemonProcess({name, folder, settings});
		process.start();
		return {
			process,
			callers: {address: own, port: ports[0]!},
			readiness: {address: own, port: ports[1]!},
			toStore,
		};
	}

	#toEntry({server, link}: Backend, state: 'ready' | 'draining'): unknown {
		const number = Number(server.id.slice(2));
		return createEntry({number, address: `${host}:${link.port}`, state});
	}
}

async function isReady({address, port}: Endpoint): Promise<boolean> {
	return new Promise((resolve) => {
		const call = get(
			{host: address, port, path: '/api/ready', agent: false},
			(answer) => {
				answer.resume();
				resolve(answer.statusCode === 200);
			},
		);
		call.setTimeout(1000, () => {
			call.destroy();
		});
		call.on('error', () => {
			// It does not listen yet.
			resolve(false);
		});
	});
}

/** Ports of an address that were free a moment ago. */
async function reservePorts(address: string, count: number): Promise<number[]> {
	const listeners = Array.from({length: count}, () => createServer());
	await Promise.all(
		listeners.map(
			async (listener) =>
				new Promise<void>((resolve) => {
					listener.listen(0, address, resolve);
				}),
		),
	);
	const ports = listeners.map(
		(listener) => (listener.address() as AddressInfo).port,
	);
	for (const listener of listeners) {
		listener.close();
	}

	return ports;
}
