import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'earl';
import {
	createFleet,
	schoolKey,
	startSample,
	type Fleet,
	type Sample,
} from '../src/index.js';

const lookUpLifetimeMs = 500;
const stopTimeoutMs = 1500;
const requestDeadlineMs = 15_000;
/** Fails a stop that does not end. */
const timeout = 10_000;

type Execution = {readonly idempotencyKey?: string};

/** A caller's connection, and what it has received. */
class Connection {
	received = '';
	readonly closed: Promise<unknown>;
	readonly #socket: Socket;

	constructor(address: string, port: number) {
		this.#socket = connect(port, address);
		this.#socket.on('error', () => undefined);
		this.#socket.on('data', (bytes) => {
			this.received += bytes.toString('latin1');
		});
		this.closed = once(this.#socket, 'close');
	}

	/** Sends a purchase, which must not be repeated. */
	send(idempotencyKey: string): void {
		const lines = [
			'POST /echo HTTP/1.1',
			'Host: desk',
			`Authorization: Bearer ${schoolKey}`,
			`Idempotency-Key: ${idempotencyKey}`,
			`X-Deadline-Ms: ${requestDeadlineMs}`,
			'Content-Length: 4',
		];
		this.#socket.write(`${lines.join('\r\n')}\r\n\r\nbody`);
	}

	close(): void {
		this.#socket.destroy();
	}
}

describe('a planned stop of an entry host', () => {
	let fleet: Fleet;
	let sample: Sample;
	let connections: Connection[];

	beforeEach(async () => {
		fleet = createFleet();
		sample = await startSample(fleet, 1, {lookUpLifetimeMs, stopTimeoutMs});
		connections = [];
		for (const server of sample.servers) {
			await fleet.callServer(server, 'PUT', '/faults', {mode: 'hang'});
		}
	});

	afterEach(async () => {
		for (const connection of connections) {
			connection.close();
		}

		await fleet.close();
	});

	function openConnection(): Connection {
		const {location, readyMessage} = sample.hosts[0]!;
		const connection = new Connection(location.address, readyMessage.callers);
		connections.push(connection);
		return connection;
	}

	async function listExecutions(): Promise<Array<string | undefined>> {
		const lists = await Promise.all(
			sample.servers.map(async (server) =>
				fleet.callServer(server, 'GET', '/executions'),
			),
		);
		return (lists.flat() as Execution[]).map(
			({idempotencyKey}) => idempotencyKey,
		);
	}

	async function waitUntilExecuted(idempotencyKey: string): Promise<void> {
		let executions: Array<string | undefined> = [];
		while (!executions.includes(idempotencyKey)) {
			await wait(20);
			executions = await listExecutions();
		}
	}

	it(
		'answers a request whose server does not respond in time, and then ends',
		{timeout},
		async () => {
			const connection = openConnection();
			connection.send('purchase-1');
			await waitUntilExecuted('purchase-1');
			const startedAt = performance.now();
			const exitCode = await sample.hosts[0]!.stop();
			const duration = performance.now() - startedAt;
			await connection.closed;
			expect(connection.received).toMatchRegex(/^HTTP\/1.1 504 /);
			expect(connection.received).toMatchRegex(/"notRun":false/);
			expect(exitCode).toEqual(0);
			expect(duration).toBeLessThan(lookUpLifetimeMs + stopTimeoutMs + 2000);
		},
	);

	it(
		'refuses what comes late on an open connection as not run, and passes it on to no server',
		{timeout},
		async () => {
			const early = openConnection();
			early.send('purchase-1');
			await waitUntilExecuted('purchase-1');
			const late = openConnection();
			const stopped = sample.hosts[0]!.stop();
			await wait(lookUpLifetimeMs + 500);
			late.send('purchase-2');
			await late.closed;
			expect(late.received).toMatchRegex(/^HTTP\/1.1 503 /);
			expect(late.received).toMatchRegex(/"notRun":true/);
			await stopped;
			expect(await listExecutions()).toEqual(['purchase-1']);
		},
	);
});
