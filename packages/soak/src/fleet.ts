import {get} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import type {Clock, Endpoint, Milliseconds} from '@parsleyvale/shared';
import {
	createConfiguration,
	createBackendEntry,
	evacuatedFailureDomain,
	findFailureDomain,
	createDaemonSettings,
} from './deployment.js';
import {DaemonProcess} from './daemon-process.js';
import {FaultyLink} from './faulty-link.js';
import {ServerStandIn, type Execution} from './server-stand-in.js';
import {StoreStandIn} from './store-stand-in.js';

const loopback = '127.0.0.1';
const portsPerDaemon = 4;
/** Each daemon has its own address, so that no outgoing connection can take its port while it restarts. */
const daemonNetworkPrefix = '127.77';
const subnetCount = 250;
/** Allows for a store outage: a daemon that cannot reach the store becomes ready only once it is back. */
const readinessTimeout: Milliseconds = 15_000;
const readinessPollInterval: Milliseconds = 50;
/** An entry expires after three missed heartbeats of 1.5 s. */
export const entryExpiryTime: Milliseconds = 4500;
/** One-way delay of a slow link, longer than the delay between two regions. */
const slowLinkDelay: Milliseconds = 150;

export type FleetOptions = {
	readonly clock: Clock;
	readonly folder: string;
	readonly daemons: number;
	readonly servers: number;
	/** Also selects the subnet of the daemons, so parallel runs need different seeds. */
	readonly seed: number;
};

export type Daemon = {
	readonly process: DaemonProcess;
	readonly callerEndpoint: Endpoint;
	readonly readinessEndpoint: Endpoint;
	readonly storeLink: FaultyLink;
};

export type Backend = {
	readonly server: ServerStandIn;
	readonly link: FaultyLink;
};

/** A store, backend servers and daemons; daemons reach the store and the servers through faulty links. */
export class Fleet {
	readonly store = new StoreStandIn();
	readonly executions: Execution[] = [];
	readonly drainStartedAt = new Map<string, Milliseconds>();
	readonly revokedAt = new Map<string, Milliseconds>();
	/** Ids of the servers in the failure domain that `evacuate` faults affect. */
	readonly evacuatedServers = new Set<string>();
	readonly daemons: Daemon[] = [];
	readonly backends: Backend[] = [];
	readonly #options: FleetOptions;
	readonly #replacedBackends: Backend[] = [];
	#isClosed = false;
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

		const subnet = `${daemonNetworkPrefix}.${this.#options.seed % subnetCount}`;
		for (let index = 0; index < this.#options.daemons; index++) {
			this.daemons.push(
				await this.#createDaemon(index, `${subnet}.${index + 1}`),
			);
		}

		return this;
	}

	/** Waits until the daemon reports readiness; resolves to false on timeout. */
	async waitUntilReady({readinessEndpoint}: Daemon): Promise<boolean> {
		const {clock} = this.#options;
		const deadline = clock.now() + readinessTimeout;
		while (clock.now() < deadline) {
			if (await isReady(readinessEndpoint)) {
				return true;
			}

			await wait(readinessPollInterval);
		}

		return false;
	}

	/** Kills all daemons and closes all sockets of the fleet. */
	async close(): Promise<void> {
		this.#isClosed = true;
		await Promise.all(
			this.daemons.map(async ({process}) => process.terminate('SIGKILL')),
		);
		for (const {storeLink} of this.daemons) {
			storeLink.close();
		}

		for (const {server, link} of [
			...this.backends,
			...this.#replacedBackends,
		]) {
			server.close();
			link.close();
		}

		this.store.close();
	}

	/** Writes a new version of the configuration, without revoked keys. */
	writeConfiguration(): void {
		this.#version += 1;
		const revokedKeys = new Set(this.revokedAt.keys());
		const configuration = createConfiguration(this.#version, revokedKeys);
		this.store.put('config', 'main', configuration);
	}

	/** Writes what the operator and the servers wrote, after the store has lost it. */
	writeAgain(isEvacuated: boolean): void {
		this.writeConfiguration();
		const ids = new Set(this.backends.map(({server}) => server.id));
		for (const id of this.store.listNames('servers')) {
			if (!ids.has(id)) {
				this.store.remove('servers', id);
			}
		}

		for (const backend of this.backends) {
			const {id} = backend.server;
			const state = this.drainStartedAt.has(id) ? 'draining' : 'ready';
			this.store.put('servers', id, this.#createEntry(backend, state));
		}

		if (isEvacuated) {
			this.store.put('evacuations', evacuatedFailureDomain, {});
		} else {
			this.store.remove('evacuations', evacuatedFailureDomain);
		}
	}

	revokeKey(key: string): void {
		this.revokedAt.set(key, this.#options.clock.now());
		this.writeConfiguration();
	}

	/** Sets the server's entry to draining; the server keeps serving until `replaceServer`. */
	drainServer(index: number): Backend {
		const backend = this.backends[index]!;
		const {id} = backend.server;
		this.store.put('servers', id, this.#createEntry(backend, 'draining'));
		this.drainStartedAt.set(id, this.#options.clock.now());
		return backend;
	}

	/** Shuts a server down, removes its entry and starts another server in its place. */
	async replaceServer(backend: Backend): Promise<void> {
		backend.server.close();
		backend.link.close();
		this.#replacedBackends.push(backend);
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
			loopback,
		);
		const link = await new FaultyLink({
			host: loopback,
			targetHost: loopback,
			targetPort: server.port,
			delay: slowLinkDelay,
		}).listen();
		const backend = {server, link};
		server.onCrash = () => {
			void this.#replaceCrashed(backend);
		};

		if (findFailureDomain(this.#serverCount) === evacuatedFailureDomain) {
			this.evacuatedServers.add(id);
		}

		this.store.put('servers', id, this.#createEntry(backend, 'ready'));
		return backend;
	}

	/** Replaces a server that has crashed by itself when its entry has expired. */
	async #replaceCrashed(backend: Backend): Promise<void> {
		await wait(entryExpiryTime);
		if (this.backends.includes(backend) && !this.#isClosed) {
			await this.replaceServer(backend);
		}
	}

	async #createDaemon(index: number, daemonHost: string): Promise<Daemon> {
		const ports = await reservePorts(daemonHost, portsPerDaemon);
		const [address, port] = this.store.address.split(':') as [string, string];
		const storeLink = await new FaultyLink({
			host: loopback,
			targetHost: address,
			targetPort: Number(port),
			delay: slowLinkDelay,
		}).listen();
		const name = `front-${index}`;
		const settings = createDaemonSettings({
			name,
			index,
			host: daemonHost,
			ports,
			store: `${loopback}:${storeLink.port}`,
		});
		const {folder} = this.#options;
		const process = new DaemonProcess({name, folder, settings});
		process.start();
		return {
			process,
			callerEndpoint: {address: daemonHost, port: ports[0]!},
			readinessEndpoint: {address: daemonHost, port: ports[1]!},
			storeLink,
		};
	}

	#createEntry({server, link}: Backend, state: 'ready' | 'draining'): unknown {
		const number = Number(server.id.slice(2));
		return createBackendEntry({
			number,
			address: `${loopback}:${link.port}`,
			state,
		});
	}
}

async function isReady({address, port}: Endpoint): Promise<boolean> {
	return new Promise((resolve) => {
		const request = get(
			{host: address, port, path: '/api/ready', agent: false},
			(response) => {
				response.resume();
				resolve(response.statusCode === 200);
			},
		);
		request.setTimeout(1000, () => {
			request.destroy();
		});
		request.on('error', () => {
			// The daemon does not listen yet.
			resolve(false);
		});
	});
}

/** Picks free ports of an address by binding to them briefly. */
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
