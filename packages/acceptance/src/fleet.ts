import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import type {
	Configuration,
	EntryHost,
	Milliseconds,
	Settings,
} from '@parsleyvale/shared';
import {startChild, type Child} from './child.js';

export type StoreReadyMessage = {
	readonly address: string;
	readonly port: number;
};

export type ServerReadyMessage = {
	readonly name: string;
	readonly address: string;
	readonly port: number;
	readonly controlPort: number;
};

export type HostReadyMessage = {
	readonly name: string;
	readonly incarnation: string;
	readonly callers: number;
	readonly peers: number;
	readonly administration: number;
};

export type HostLocation = {
	readonly name: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly address: string;
};

/** The process of an entry host and its location. */
export type Host = Child<HostReadyMessage> & {readonly location: HostLocation};

const pollInterval: Milliseconds = 50;
const maximumPolls = 200;
export const credential = 'acceptance-credential';

function resolveProgram(specifier: string, file: string): string {
	const index = fileURLToPath(import.meta.resolve(specifier));
	return path.join(path.dirname(index), file);
}

/** Runs the stand-ins and the entry hosts as separate processes on loopback addresses. */
export class Fleet {
	readonly folder = mkdtempSync(path.join(os.tmpdir(), 'parsleyvale-'));
	readonly #children = new Set<{kill(): Promise<void>}>();
	#store: Child<StoreReadyMessage> | undefined;

	get storeUrl(): string {
		const {address, port} = this.#store!.readyMessage;
		return `http://${address}:${port}`;
	}

	async startStore(): Promise<Child<StoreReadyMessage>> {
		const program = resolveProgram(
			'@parsleyvale/stand-ins',
			'object-store-main.js',
		);
		this.#store = this.#trackChild(
			await startChild<StoreReadyMessage>(program, []),
		);
		return this.#store;
	}

	async startServer(
		name: string,
		address: string,
		options: readonly string[] = [],
	): Promise<Child<ServerReadyMessage>> {
		const program = resolveProgram(
			'@parsleyvale/stand-ins',
			'backend-server-main.js',
		);
		const parameters = ['--name', name, '--address', address, ...options];
		return this.#trackChild(
			await startChild<ServerReadyMessage>(program, parameters),
		);
	}

	/** Starts an entry host and adds it to the platform's host list. */
	async startHost(
		location: HostLocation,
		overrides: Partial<Settings> = {},
		nodeOptions: readonly string[] = [],
	): Promise<Host> {
		const {address, ...rest} = location;
		const endpoint = {address, port: 0};
		const settings = {
			...rest,
			callers: endpoint,
			peers: endpoint,
			administration: endpoint,
			administrationHash: createHash('sha256').update(credential).digest('hex'),
			store: {url: this.storeUrl},
			...overrides,
		};
		const file = path.join(this.folder, `${location.name}.json`);
		writeFileSync(file, JSON.stringify(settings));
		const program = resolveProgram('@parsleyvale/daemon', 'main.js');
		const child = await startChild<HostReadyMessage>(
			program,
			['--settings', file],
			nodeOptions,
		);
		const host = Object.assign(this.#trackChild(child), {location});
		await this.listHost(host);
		return host;
	}

	/** Lists a host as live or leaving, in the role of the platform. */
	async listHost(host: Host, leaving = false): Promise<void> {
		const {location, readyMessage} = host;
		const entry: EntryHost = {
			name: location.name,
			incarnation: readyMessage.incarnation,
			region: location.region,
			failureDomain: location.failureDomain,
			callers: {address: location.address, port: readyMessage.callers},
			peers: {address: location.address, port: readyMessage.peers},
			leaving,
		};
		await this.callStore('PUT', `/hosts/${location.name}`, entry);
	}

	async unlistHost(host: Host): Promise<void> {
		await this.callStore('DELETE', `/hosts/${host.location.name}`);
	}

	async callStore(
		method: 'PUT' | 'DELETE' | 'GET',
		target: string,
		body?: unknown,
	): Promise<unknown> {
		return callJson(method, this.storeUrl + target, body);
	}

	/** Calls the control API of a backend server. */
	async callServer(
		server: Child<ServerReadyMessage>,
		method: 'PUT' | 'GET',
		target: string,
		body?: unknown,
	): Promise<unknown> {
		const {address, controlPort} = server.readyMessage;
		return callJson(method, `http://${address}:${controlPort}${target}`, body);
	}

	/** Calls the administration API of a host with the operator's credential. */
	async callHost(
		host: Host,
		method: 'PUT' | 'GET' | 'POST',
		target: string,
		body?: unknown,
	): Promise<unknown> {
		const {administration} = host.readyMessage;
		const url = `http://${host.location.address}:${administration}${target}`;
		return callJson(method, url, body, {authorization: `Bearer ${credential}`});
	}

	async applyConfiguration(
		host: Host,
		expected: number,
		configuration: Partial<Configuration>,
	): Promise<unknown> {
		const operation = `acceptance-${expected}`;
		const target = `/configuration?expected=${expected}&operation=${operation}`;
		return this.callHost(host, 'PUT', target, configuration);
	}

	/** Waits until the host has an active configuration and admits requests. */
	async waitUntilReady(host: Host): Promise<void> {
		const {administration} = host.readyMessage;
		const url = `http://${host.location.address}:${administration}/readyz`;
		for (let polls = 0; polls < maximumPolls; polls++) {
			const response = await request(url);
			await response.body.dump();
			if (response.statusCode === 200) {
				return;
			}

			await wait(pollInterval);
		}

		throw new Error(`${host.location.name} did not become ready.`);
	}

	/** Waits until this host considers exactly `count` entry hosts live. */
	async waitUntilLive(host: Host, count: number): Promise<void> {
		for (let polls = 0; polls < maximumPolls; polls++) {
			const status = await this.callHost(host, 'GET', '/status');
			const {hosts} = status as {hosts: Array<{live: boolean}>};
			if (hosts.filter((entry) => entry.live).length === count) {
				return;
			}

			await wait(pollInterval);
		}

		throw new Error(`${host.location.name} did not see ${count} live hosts.`);
	}

	/** The URL of a request target on the host's caller-facing port. */
	toUrl(host: Host, target: string): string {
		return `http://${host.location.address}:${host.readyMessage.callers}${target}`;
	}

	/** Kills all processes of this fleet and deletes its folder. */
	async close(): Promise<void> {
		await Promise.all([...this.#children].map(async (child) => child.kill()));
		rmSync(this.folder, {recursive: true, force: true});
	}

	#trackChild<Message>(child: Child<Message>): Child<Message> {
		this.#children.add(child);
		return child;
	}
}

async function callJson(
	method: 'PUT' | 'DELETE' | 'GET' | 'POST',
	url: string,
	body?: unknown,
	headers: Record<string, string> = {},
): Promise<unknown> {
	const response = await request(url, {
		method,
		headers: {...headers, 'content-type': 'application/json'},
		body: body === undefined ? null : JSON.stringify(body),
	});
	const text = await response.body.text();
	return text === '' ? undefined : JSON.parse(text);
}

export function createFleet(): Fleet {
	return new Fleet();
}
