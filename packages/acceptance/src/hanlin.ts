import {readFileSync, readdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {mergeFiles} from '@parsleyvale/configuration';
import type {Configuration, Server} from '@parsleyvale/shared';
import type {Child} from './child.js';
import type {Fleet, Host, ServerReadyMessage} from './fleet.js';

/** A configured backend server of Hanlin and the process that simulates it. */
export type RunningServer = {
	readonly server: Server;
	readonly child: Child<ServerReadyMessage>;
};

/** Reads the example folder, merged as the operators' tool merges it. */
export function readExample(folder: string): Configuration {
	const files = readdirSync(folder)
		.filter((name) => name.endsWith('.json'))
		.map((name) => ({
			name,
			text: readFileSync(path.join(folder, name), 'utf8'),
		}));
	const merged = mergeFiles(files);
	if (merged.isErr) {
		throw new Error(JSON.stringify(merged.error));
	}

	return merged.value;
}

/** Starts a process for every backend server, each on a free port. */
export async function startServers(
	fleet: Fleet,
	configuration: Configuration,
): Promise<RunningServer[]> {
	const servers = configuration.pools.flatMap((pool) => pool.servers);
	return Promise.all(
		servers.map(async (server) => ({
			server,
			child: await fleet.startServer(server.name, server.address, [
				'--slots',
				String(server.slots),
			]),
		})),
	);
}

/** Replaces the servers' ports by those that the processes listen on. */
export function setPorts(
	configuration: Configuration,
	running: readonly RunningServer[],
): Configuration {
	const ports = new Map(
		running.map(({server, child}) => [server.name, child.readyMessage.port]),
	);
	const pools = configuration.pools.map((pool) => ({
		...pool,
		servers: pool.servers.map((server) => ({
			...server,
			port: ports.get(server.name) ?? server.port,
		})),
	}));
	return {...configuration, pools};
}

/** Writes a configuration folder that the operators' tool can apply. */
export function writeFolder(
	folder: string,
	configuration: Configuration,
): void {
	const text = JSON.stringify(configuration, undefined, '\t');
	writeFileSync(path.join(folder, '10-all.json'), text);
}

/** Starts one entry host in each failure domain. */
export async function startHosts(
	fleet: Fleet,
	configuration: Configuration,
): Promise<Host[]> {
	const locations = configuration.regions.flatMap((region, regionIndex) =>
		region.failureDomains.map((failureDomain, domainIndex) => ({
			name: `${region.name}-${failureDomain}-1`,
			region: region.name,
			failureDomain,
			address: `127.${regionIndex + 1}.${domainIndex + 1}.101`,
		})),
	);
	return Promise.all(
		locations.map(async (location) => fleet.startHost(location)),
	);
}
