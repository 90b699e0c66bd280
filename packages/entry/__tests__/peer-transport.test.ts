import {createSocket} from 'node:dgram';
import {createServer, type AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createSystemClock, type Milliseconds} from '@parsleyvale/shared';
import type {Digest} from '@parsleyvale/steering';
import {expect} from 'earl';
import {DigestCodec} from '../src/digest-codec.js';
import {NameHashes} from '../src/name-hashes.js';
import {PeerTransport} from '../src/peer-transport.js';
import {QueueTimeBound} from '../src/queue-time-bound.js';

const testTimeoutMs = 10_000;
const address = '127.0.0.1';
const freezeDuration: Milliseconds = 700;
const digest: Digest = {
	name: 'host-2',
	incarnation: '1',
	sequence: 1,
	region: 'east',
	failureDomain: 'east-a',
	callers: '127.0.0.2:1',
	capacity: 1,
	address,
	port: 1,
	isReady: true,
	requestsPerSecond: 0,
	configurationVersion: 1,
	configurationAgeMs: 0,
	isReading: true,
	isStoreLost: false,
	storeRegainedAgoMs: null,
	fleetPosition: {era: 1, revision: 1},
	evacuationsPosition: {era: 1, revision: 1},
};

const cleanups: Array<() => void> = [];

afterEach(() => {
	for (const cleanUp of cleanups.splice(0)) {
		cleanUp();
	}
});

async function findFreePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>((resolve) => {
		server.listen(0, address, resolve);
	});
	const {port} = server.address() as AddressInfo;
	server.close();
	return port;
}

function blockEventLoop(duration: Milliseconds): void {
	const clock = createSystemClock();
	const end = clock.now() + duration;
	while (clock.now() < end) {
		// Nothing else may run, as when the process is frozen.
	}
}

describe('a digest', () => {
	it(
		'that waited in the socket comes with that time',
		{timeout: testTimeoutMs},
		async () => {
			const port = await findFreePort();
			const codec = new DigestCodec(new NameHashes(), new NameHashes());
			const queueTimes: Milliseconds[] = [];
			const transport = new PeerTransport({
				endpoint: {address, port},
				codec,
				queueTimeBound: new QueueTimeBound(createSystemClock()),
				onDigest(_digest, maximumQueueTime) {
					queueTimes.push(maximumQueueTime);
				},
				getDelta: () => undefined,
				onError: () => undefined,
			});
			await transport.listen();
			const sender = createSocket('udp4');
			cleanups.push(() => {
				transport.close();
				sender.close();
			});
			const send = async () =>
				new Promise<void>((resolve) => {
					sender.send(codec.encode(digest), port, address, () => {
						resolve();
					});
				});
			await send();
			blockEventLoop(freezeDuration);
			while (queueTimes.length === 0) {
				await wait(5);
			}

			expect(queueTimes[0]!).toBeGreaterThanOrEqual(freezeDuration);
		},
	);
});
