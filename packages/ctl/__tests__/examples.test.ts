import {createHash} from 'node:crypto';
import {readdir, readFile} from 'node:fs/promises';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {settingsSchema, type Settings} from '@parsleyvale/shared';
import {expect} from 'earl';
import {readFolder} from '../src/read-folder.js';

const root = fileURLToPath(new URL('../../../../examples', import.meta.url));

const deployments = [
	{name: 'hanlin', slots: [3, 3], bytesPerSecond: 37_500_000, hosts: 10},
	{name: 'tintwell', slots: [4, 3], bytesPerSecond: 500_000_000, hosts: 9},
];

async function readSettings(deployment: string): Promise<Settings[]> {
	const folder = `${root}/${deployment}/entry-hosts`;
	const names = await readdir(folder);
	const pendingSettings = names.map(async (name) => {
		const text = await readFile(`${folder}/${name}`, 'utf8');
		return settingsSchema.parse(JSON.parse(text));
	});
	return Promise.all(pendingSettings);
}

describe('examples', () => {
	for (const {name, slots, bytesPerSecond, hosts} of deployments) {
		it(`are valid and have the expected size for ${name}`, async () => {
			const result = await readFolder(`${root}/${name}`);
			const {pools, regions, customers, links} = result.unwrapOrElse(
				(error) => {
					throw new Error(JSON.stringify(error));
				},
			);
			expect(pools.map(({servers}) => servers.length)).toEqual([24, 12]);
			expect(pools.map(({servers}) => servers[0]?.slots)).toEqual(slots);
			expect(regions.flatMap((each) => each.failureDomains)).toHaveLength(6);
			expect(customers).toHaveLength(8);
			expect(links.map((link) => link.bytesPerSecond)).toEqual(
				regions.map(() => bytesPerSecond),
			);
			const servers = pools.flatMap((pool) => pool.servers);
			expect(new Set(servers.map(({address}) => address)).size).toEqual(36);
		});

		it(`include settings for every entry host of ${name}`, async () => {
			const credential = await readFile(`${root}/credential.txt`, 'utf8');
			const hash = createHash('sha256').update(credential.trim()).digest('hex');
			const settings = await readSettings(name);
			expect(new Set(settings.map((each) => each.name)).size).toEqual(hosts);
			expect(settings.map((each) => each.administrationHash)).toEqual(
				settings.map(() => hash),
			);
		});
	}
});
