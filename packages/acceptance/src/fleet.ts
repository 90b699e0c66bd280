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

export type StoreLine = {readonly address: string; readonly port: number};

export type ServerLine = {
	readonly name: string;
	readonly address: string;
	readonly port: number;
	readonly controlPort: number;
};

export type HostLine = {
	readonly name: string;
	readonly incarnation: string;
	readonly callers: number;
	readonly peers: number;
	readonly administration: number;
};

export type Place = {
	readonly name: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly address: string;
};

/** An entry host under test. */
export type Host = Child<HostLine> & {readonly place: Place};

const readyInterval: Milliseconds = 50;
const readyTries = 200;
const credential = 'acceptance-credential';

function toProgram(specifier: string, file: string): string {
	const index = fileURLToPath(import.meta.resolve(specifier));
	return path.join(path.dirname(index), file);
}

/** Real processes on loopback: the stand-ins and the entry hosts. */
export class Fleet {
	readonly #folder = mkdtempSync(path.join(os.tmpdir(), 'parsleyvale-'));
	readonly #children = new Set<{kill(): Promise<void>}>();
	#store: Child<StoreLine> | undefined;

	get storeUrl(): string {
		const {address, port} = this.#store!.line;
		return `http://${address}:${port}`;
	}

	async startStore(): Promise<Child<StoreLine>> {
		const program = toProgram('@parsleyvale/stand-ins', 'object-store-main.js');
		this.#store = this.#add(await startChild<StoreLine>(program, []));
		return this.#store;
	}

	async startServer(
		name: string,
		address: string,
		options: readonly string[] = [],
	): Promise<Child<ServerLine>> {
		const program = toProgram(
			'@parsleyvale/stand-ins',
			'backend-server-main.js',
		);
		const parameters = ['--name', name, '--address', address, ...options];
		return this.#add(await startChild<ServerLine>(program, parameters));
	}

	/** Starts an entry host and has the platform list it. */
	async startHost(place: Place, extra: Partial<Settings> = {}): Promise<Host> {
		const {address, ...rest} = place;
		const endpoint = {address, port: 0};
		const settings = {
			...rest,
			callers: endpoint,
			peers: endpoint,
			administration: endpoint,
			administrationHash: createHash('sha256').update(credential).digest('hex'),
			store: {url: this.storeUrl},
			...extra,
		};
		const file = path.join(this.#folder, `${place.name}.json`);
		writeFileSync(file, JSON.stringify(settings));
		const program = toProgram('@parsleyvale/daemon', 'main.js');
		const child = await startChild<HostLine>(program, ['--settings', file]);
		const host = Object.assign(this.#add(child), {place});
		await this.listHost(host);
		return host;
	}

	/** The platform's own doing: it lists a host as live or leaving. */
	async listHost(host: Host, leaving = false): Promise<void> {
		const {place, line} = host;
		const entry: EntryHost = {
			name: place.name,
			incarnation: line.incarnation,
			region: place.region,
			failureDomain: place.failureDomain,
			callers: {address: place.address, port: line.callers},
			peers: {address: place.address, port: line.peers},
			leaving,
		};
		await this.callStore('PUT', `/hosts/${place.name}`, entry);
	}

	async unlistHost(host: Host): Promise<void> {
		await this.callStore('DELETE', `/hosts/${host.place.name}`);
	}

	async callStore(
		method: 'PUT' | 'DELETE' | 'GET',
		target: string,
		body?: unknown,
	): Promise<unknown> {
		return callJson(method, this.storeUrl + target, body);
	}

	/** Commands a backend server stand-in. */
	async callServer(
		server: Child<ServerLine>,
		method: 'PUT' | 'GET',
		target: string,
		body?: unknown,
	): Promise<unknown> {
		const {address, controlPort} = server.line;
		return callJson(method, `http://${address}:${controlPort}${target}`, body);
	}

	/** Calls the administration API of a host as an operator. */
	async callHost(
		host: Host,
		method: 'PUT' | 'GET' | 'POST',
		target: string,
		body?: unknown,
	): Promise<unknown> {
		const {administration} = host.line;
		const url = `http://${host.place.address}:${administration}${target}`;
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

	/** Waits until the host has a configuration in force and can admit. */
	async waitUntilReady(host: Host): Promise<void> {
		const {administration} = host.line;
		const url = `http://${host.place.address}:${administration}/readyz`;
		for (let tries = 0; tries < readyTries; tries++) {
			const answer = await request(url);
			await answer.body.dump();
			if (answer.statusCode === 200) {
				return;
			}

			await wait(readyInterval);
		}

		throw new Error(`${host.place.name} did not become ready.`);
	}

	/** Waits until this host takes so many entry hosts as live. */
	async waitUntilLive(host: Host, count: number): Promise<void> {
		for (let tries = 0; tries < readyTries; tries++) {
			const status = await this.callHost(host, 'GET', '/status');
			const {hosts} = status as {hosts: Array<{live: boolean}>};
			if (hosts.filter((entry) => entry.live).length === count) {
				return;
			}

			await wait(readyInterval);
		}

		throw new Error(`${host.place.name} did not see ${count} live hosts.`);
	}

	/** Where callers reach a host. */
	toUrl(host: Host, target: string): string {
		return `http://${host.place.address}:${host.line.callers}${target}`;
	}

	/** Ends every process that this fleet started. */
	async close(): Promise<void> {
		await Promise.all([...this.#children].map(async (child) => child.kill()));
		rmSync(this.#folder, {recursive: true, force: true});
	}

	#add<Line>(child: Child<Line>): Child<Line> {
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
	const answer = await request(url, {
		method,
		headers: {...headers, 'content-type': 'application/json'},
		body: body === undefined ? null : JSON.stringify(body),
	});
	const text = await answer.body.text();
	return text === '' ? undefined : JSON.parse(text);
}

export function createFleet(): Fleet {
	return new Fleet();
}
