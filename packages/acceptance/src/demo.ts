import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {lookUpPath} from '@parsleyvale/daemon';
import type {Configuration, Milliseconds} from '@parsleyvale/shared';
import {Control} from './control.js';
import {credential, type Fleet, type Host} from './fleet.js';
import {
	readExample,
	setPorts,
	startHosts,
	startServers,
	writeFolder,
	type RunningServer,
} from './hanlin.js';

const customer = 'national-schools';
const concurrentRequests = 4;
const requestsPerRound = 60;
const settleDuration: Milliseconds = 2000;

type Execution = {
	readonly requestId: string;
	readonly idempotencyKey: string | undefined;
};

/** A row of the result table: a guarantee and whether it held. */
export type Finding = {
	readonly guarantee: string;
	readonly observed: string;
	readonly isHeld: boolean;
};

type RequestResult = {readonly status: number; readonly server: string};

/** The demo described in the README: Hanlin's deployment on one machine. */
export class Demo {
	readonly #fleet: Fleet;
	readonly #print: (line: string) => void;
	readonly #findings: Finding[] = [];
	#configuration!: Configuration;
	#servers: RunningServer[] = [];
	#hosts: Host[] = [];
	#control!: Control;
	#key = '';

	constructor(fleet: Fleet, print: (line: string) => void) {
		this.#fleet = fleet;
		this.#print = print;
	}

	/** Runs all steps and returns the checked guarantees. */
	async run(exampleFolder: string): Promise<readonly Finding[]> {
		await this.#start(exampleFolder);
		await this.#configure();
		await this.#lookUpHosts();
		await this.#serveEntries();
		await this.#sendPurchases();
		await this.#shiftTraffic();
		await this.#drainServer();
		await this.#killHost();
		await this.#withdrawKey();
		await this.#stopHost();
		return this.#findings;
	}

	async #start(exampleFolder: string): Promise<void> {
		this.#print(
			"Starting the object store, Hanlin's backend servers and its entry hosts.",
		);
		const example = readExample(exampleFolder);
		await this.#fleet.startStore();
		this.#servers = await startServers(this.#fleet, example);
		this.#configuration = setPorts(example, this.#servers);
		this.#hosts = await startHosts(this.#fleet, example);
		this.#print(
			`  ${this.#servers.length} servers, ${this.#hosts.length} entry hosts`,
		);
	}

	async #configure(): Promise<void> {
		const folder = path.join(this.#fleet.folder, 'configuration');
		const credentialFile = path.join(this.#fleet.folder, 'credential.txt');
		mkdirSync(folder);
		writeFolder(folder, this.#configuration);
		writeFileSync(credentialFile, credential);
		const urls = this.#hosts.map(
			({location, readyMessage}) =>
				`http://${location.address}:${readyMessage.administration}`,
		);
		this.#control = new Control({urls, credentialFile});
		await this.#control.run('apply', folder);
		const createdKey = await this.#control.run(
			'key',
			'create',
			'schools-1',
			'--customer',
			customer,
		);
		this.#key = (JSON.parse(createdKey) as {key: string}).key;
		for (const host of this.#hosts) {
			await this.#fleet.waitUntilReady(host);
			await this.#fleet.waitUntilLive(host, this.#hosts.length);
		}

		await wait(settleDuration);
		this.#print(
			'Applied the configuration and created a key with parsleyvalectl.',
		);
	}

	async #lookUpHosts(): Promise<void> {
		const response = await this.#fetch(this.#hosts[0]!, lookUpPath);
		const {hosts} = (await response.json()) as {hosts: Array<{name: string}>};
		const names = hosts.map((host) => host.name);
		this.#print(`Look-up: ${names.join(', ')}`);
		this.#addFinding(
			'a look-up lists live entry hosts',
			names.join(' '),
			names.length > 0,
		);
	}

	async #serveEntries(): Promise<void> {
		this.#print(
			'Entries requested in each region, by the region that served them:',
		);
		for (const host of this.#hosts) {
			const results = await this.#sendMany(host, requestsPerRound / 2);
			this.#printRegionCounts(host, results);
			const servedCount = results.filter(({status}) => status === 200).length;
			this.#addFinding(
				`${host.location.name} serves every request`,
				`${servedCount} of ${results.length}`,
				servedCount === results.length,
			);
		}
	}

	async #sendPurchases(): Promise<void> {
		const headers = {'idempotency-key': 'licence-2026-12-04-0001'};
		const options = {method: 'POST', headers, body: 'one school licence'};
		const statuses: number[] = [];
		for (const host of this.#hosts.slice(0, 3)) {
			const response = await this.#fetch(host, '/licence-purchases', options);
			await response.arrayBuffer();
			statuses.push(response.status);
		}

		const executionCount = await this.#countExecutions(
			'licence-2026-12-04-0001',
		);
		this.#print(
			`Licence purchase sent to three entry hosts: ${statuses.join(', ')}; executions: ${executionCount}`,
		);
		this.#addFinding(
			'a purchase is executed at most once',
			`executions: ${executionCount}`,
			executionCount === 1,
		);
	}

	async #shiftTraffic(): Promise<void> {
		const host = this.#hosts[0]!;
		await this.#control.run(
			'shift',
			'start',
			'demo',
			'--pool',
			'reader-desk',
			'--from',
			'tpe',
			'--to',
			'sin',
			'--share',
			'0.5',
			'--cap-per-second',
			'20',
			'--cap-burst',
			'10',
		);
		await wait(settleDuration);
		const startedAt = performance.now();
		const results = await this.#sendMany(host, 2 * requestsPerRound);
		const elapsedSeconds = (performance.now() - startedAt) / 1000;
		await this.#control.run('shift', 'stop', 'demo');
		this.#print(
			'Shift of half of the traffic from tpe to sin, capped at 20 requests/s:',
		);
		this.#printRegionCounts(host, results);
		const shiftedCount = results.filter(
			({server}) => this.#findRegion(server) === 'sin',
		).length;
		this.#addFinding(
			'a shift moves traffic, but no more than its cap',
			`${shiftedCount} in ${elapsedSeconds.toFixed(2)} s`,
			shiftedCount > 0 && shiftedCount <= 10 + 20 * elapsedSeconds,
		);
	}

	async #drainServer(): Promise<void> {
		const {server, child} = this.#servers.find(
			(each) => each.server.region === 'tpe',
		)!;
		await this.#control.run('drain', 'start', '--server', server.name);
		await wait(settleDuration);
		const executionsBefore = await this.#listExecutions(child);
		await this.#sendMany(this.#hosts[0]!, requestsPerRound);
		const executionsAfter = await this.#listExecutions(child);
		await this.#control.run('drain', 'stop', '--server', server.name);
		const newExecutionCount = executionsAfter.length - executionsBefore.length;
		this.#print(
			`Drained ${server.name}: ${newExecutionCount} new executions afterwards.`,
		);
		this.#addFinding(
			'a drained server gets no new requests',
			`${newExecutionCount} new`,
			newExecutionCount === 0,
		);
	}

	async #killHost(): Promise<void> {
		const [killedHost, remainingHost] = this.#hosts;
		await killedHost!.kill();
		await this.#fleet.unlistHost(killedHost!);
		this.#hosts = this.#hosts.slice(1);
		await wait(2 * settleDuration);
		const results = await this.#sendMany(remainingHost!, requestsPerRound);
		const servedCount = results.filter(({status}) => status === 200).length;
		const lookUpResponse = await this.#fetch(remainingHost!, lookUpPath);
		const lookUpText = await lookUpResponse.text();
		const isStillListed = lookUpText.includes(`"${killedHost!.location.name}"`);
		this.#print(
			`Killed ${killedHost!.location.name}: ${servedCount} of ${results.length} served by ${remainingHost!.location.name}.`,
		);
		this.#addFinding(
			'the other entry hosts keep serving when one is killed',
			`${servedCount} of ${results.length}, still listed: ${String(isStillListed)}`,
			servedCount === results.length && !isStillListed,
		);
	}

	async #withdrawKey(): Promise<void> {
		await this.#control.run('key', 'withdraw', 'schools-1');
		const statuses: number[] = [];
		for (const host of this.#hosts) {
			const response = await this.#fetch(host, '/entries/last');
			await response.arrayBuffer();
			statuses.push(response.status);
		}

		this.#print(`Withdrew the key: ${statuses.join(', ')}`);
		this.#addFinding(
			'a withdrawn key is rejected everywhere once the withdrawal is confirmed',
			statuses.join(' '),
			statuses.every((status) => status === 401),
		);
	}

	async #stopHost(): Promise<void> {
		const host = this.#hosts.at(-1)!;
		const exitCode = await host.stop();
		this.#print(`Stopped ${host.location.name}: exit code ${exitCode}`);
		this.#addFinding(
			'an entry host stops gracefully',
			`exit code ${exitCode}`,
			exitCode === 0,
		);
	}

	async #sendMany(host: Host, count: number): Promise<RequestResult[]> {
		const results: RequestResult[] = [];
		const sendNext = async () => {
			while (results.length < count) {
				const index = results.push({status: 0, server: ''}) - 1;
				const response = await this.#fetch(host, `/entries/${index}`);
				await response.arrayBuffer();
				const server = response.headers.get('x-server') ?? '';
				results[index] = {status: response.status, server};
			}
		};

		await Promise.all(
			Array.from({length: concurrentRequests}, async () => sendNext()),
		);
		return results;
	}

	async #fetch(
		host: Host,
		target: string,
		options: RequestInit = {},
	): Promise<Response> {
		return fetch(this.#fleet.toUrl(host, target), {
			...options,
			headers: {...options.headers, authorization: `Bearer ${this.#key}`},
		});
	}

	async #listExecutions(child: RunningServer['child']): Promise<Execution[]> {
		const list = await this.#fleet.callServer(child, 'GET', '/executions');
		return list as Execution[];
	}

	async #countExecutions(idempotencyKey: string): Promise<number> {
		const lists = await Promise.all(
			this.#servers.map(async ({child}) => this.#listExecutions(child)),
		);
		return lists.flat().filter((run) => run.idempotencyKey === idempotencyKey)
			.length;
	}

	#findRegion(serverName: string): string {
		const runningServer = this.#servers.find(
			({server}) => server.name === serverName,
		);
		return runningServer?.server.region ?? 'none';
	}

	#printRegionCounts(host: Host, results: readonly RequestResult[]): void {
		const counts = new Map<string, number>();
		for (const {server, status} of results) {
			const label =
				status === 200 ? this.#findRegion(server) : `status ${status}`;
			counts.set(label, (counts.get(label) ?? 0) + 1);
		}

		const text = [...counts].map(([label, count]) => `${label} ${count}`);
		this.#print(`  at ${host.location.name}: ${text.join(', ')}`);
	}

	#addFinding(guarantee: string, observed: string, isHeld: boolean): void {
		this.#findings.push({guarantee, observed, isHeld});
	}
}
