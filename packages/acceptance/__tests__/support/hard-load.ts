import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'earl';
import {Agent, request} from 'undici';
import {clientLimitsSchema} from '@parsleyvale/shared';
import {
	countDescriptors,
	createFleet,
	Crowd,
	readPeakResidentBytes,
	schoolKey,
	startSample,
	type CrowdOptions,
	type Fleet,
	type Host,
} from '../../src/index.js';

export type CrowdCase = Omit<CrowdOptions, 'address' | 'port'> & {
	readonly name: string;
};

/** The smallest machine of the deployments has 202 MB. */
const machineMemoryMb = 202;
const maximumResidentBytes = machineMemoryMb * 1_000_000;
const connectionsPerAddress = 150;
/** The crowd's connections, and 100 for those to servers, peers, the store and the ordinary caller. */
const maximumDescriptors = connectionsPerAddress + 100;
const nodeOptions = ['--max-old-space-size=96'];
const limits = clientLimitsSchema.parse({
	memoryMb: machineMemoryMb,
	connectionsPerAddress,
	bodyIdleTimeoutMs: 1000,
	unreadTimeoutMs: 2000,
	drainTimeoutMs: 500,
	drainBytes: 65_536,
});
/** Shorter than the sample's, so that a crowd gives up its slots during a test. */
const deadlineMs = 3000;
const crowdDuration = 3000;
const ordinaryTimeout = 20_000;
/** The crowd comes from another address of the loopback network. */
const ordinaryAddress = '127.0.0.3';

export const fields = `Host: desk\r\nAuthorization: Bearer ${schoolKey}\r\n`;
export const chunkedHead = `POST /echo HTTP/1.1\r\n${fields}Transfer-Encoding: chunked\r\n\r\n`;

/**
 * Checks that an entry host lives within memory and descriptors beside a crowd, and
 * then answers one ordinary request while the crowd's connections stay open.
 */
export async function expectSurvival({
	name,
	...options
}: CrowdCase): Promise<void> {
	const fleet = createFleet();
	try {
		const host = await startHost(fleet);
		const crowd = new Crowd({
			...options,
			address: host.location.address,
			port: host.readyMessage.callers,
		});
		try {
			await crowd.run(crowdDuration);
			const descriptors = countDescriptors(host.processId);
			await expectAnswer(fleet, host);
			const residentBytes = readPeakResidentBytes(host.processId);
			if (process.env.FLEET_LOGS) {
				console.log({name, descriptors, residentBytes});
			}

			expect(residentBytes).toBeLessThan(maximumResidentBytes);
			expect(descriptors).toBeLessThanOrEqual(maximumDescriptors);
		} finally {
			crowd.close();
		}
	} finally {
		await fleet.close();
	}
}

async function startHost(fleet: Fleet): Promise<Host> {
	const {hosts, configuration} = await startSample(
		fleet,
		1,
		{limits},
		nodeOptions,
	);
	const host = hosts[0]!;
	await fleet.applyConfiguration(host, 1, {
		...configuration,
		routes: configuration.routes.map((route) => ({...route, deadlineMs})),
	});
	return host;
}

/** Repeats a refused request, as callers do, until it is answered. */
async function expectAnswer(fleet: Fleet, host: Host): Promise<void> {
	const dispatcher = new Agent({localAddress: ordinaryAddress});
	const signal = AbortSignal.timeout(ordinaryTimeout);
	try {
		for (let status = 0; status !== 200;) {
			expect(host.isRunning).toEqual(true);
			const response = await request(fleet.toUrl(host, '/open/ordinary'), {
				dispatcher,
				signal,
			});
			await response.body.dump();
			status = response.statusCode;
			await wait(100);
		}
	} finally {
		await dispatcher.destroy();
	}
}
