import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {after, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'earl';
import {lookUpPath} from '@parsleyvale/daemon';
import type {Configuration, Drain} from '@parsleyvale/shared';
import {
	createFleet,
	readerKey,
	schoolKey,
	startSample,
	type Host,
	type Sample,
} from '../src/index.js';

const goldenFile = path.resolve('golden', 'whole-session.txt');

/** A request of the session and its title in the golden file. */
type Step = {
	readonly title: string;
	readonly target: string;
	readonly key?: string;
	readonly method?: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

describe('golden session of separate processes', () => {
	const fleet = createFleet();
	const lines: string[] = [];

	after(async () => {
		await fleet.close();
	});

	async function recordStep(host: Host, step: Step): Promise<void> {
		const {title, target, key, method = 'GET', headers = {}, body} = step;
		const authorization: Record<string, string> =
			key === undefined ? {} : {authorization: `Bearer ${key}`};
		const response = await fetch(fleet.toUrl(host, target), {
			method,
			headers: {...authorization, ...headers},
			body: body ?? null,
		});
		const text = await response.text();
		lines.push(
			`${title}`,
			`  ${method} ${target} at ${host.location.name}`,
			`  ${response.status} ${describeResponse(response, text)}`,
		);
	}

	async function applyDrains(
		sample: Sample,
		version: number,
		drains: Drain[],
	): Promise<void> {
		const configuration: Configuration = {...sample.configuration, drains};
		const host = sample.hosts[0]!;
		const response = await fleet.applyConfiguration(
			host,
			version,
			configuration,
		);
		lines.push(`configuration: ${JSON.stringify(response)}`);
		await wait(1000);
	}

	async function recordRefusals(host: Host): Promise<void> {
		await recordStep(host, {title: 'refused: no key', target: '/entries/yu'});
		await recordStep(host, {
			title: 'refused: unknown key',
			target: '/entries/yu',
			key: `pv_${'x'.repeat(43)}`,
		});
		await recordStep(host, {
			title: 'refused: method',
			target: '/entries/yu',
			key: schoolKey,
			method: 'DELETE',
		});
		await recordStep(host, {
			title: 'refused: a path that two parties may read differently',
			target: '/entries//echo',
			key: schoolKey,
		});
	}

	async function recordPurchases(first: Host, second: Host): Promise<void> {
		const purchase = {
			target: '/echo',
			key: schoolKey,
			method: 'POST',
			headers: {'idempotency-key': 'licence-1'},
			body: 'one licence',
		};
		await recordStep(first, {title: 'purchase', ...purchase});
		await recordStep(second, {
			title: 'purchase repeated elsewhere',
			...purchase,
		});
		await recordStep(second, {
			title: 'its key for another purchase',
			...purchase,
			body: 'two licences',
		});
	}

	it('matches the golden file', async () => {
		const sample = await startSample(fleet);
		const [first, second] = sample.hosts as [Host, Host];
		await recordStep(first, {
			title: 'look-up',
			target: lookUpPath,
			key: schoolKey,
		});
		await recordStep(first, {
			title: 'admitted',
			target: '/entries/yu',
			key: schoolKey,
		});
		await recordStep(second, {
			title: 'admitted in the other region, with a customer of its own making',
			target: '/entries/yu',
			key: readerKey,
			headers: {'x-customer': 'school'},
		});
		await recordStep(second, {title: 'open to all', target: '/open/word'});
		await recordRefusals(first);
		await recordPurchases(first, second);
		const drain: Drain = {
			name: 'tpe',
			target: {kind: 'region', name: 'tpe'},
			state: 'running',
		};
		await applyDrains(sample, 1, [drain]);
		await recordStep(first, {
			title: 'its region is drained',
			target: '/entries/yu',
			key: schoolKey,
		});
		await applyDrains(sample, 2, []);
		const withdrawal = await fleet.callHost(
			second,
			'POST',
			'/keys/school-1/withdraw?operation=withdraw-1',
		);
		lines.push(`withdrawal: ${Object.keys(withdrawal as object).join(' ')}`);
		await recordStep(first, {
			title: 'refused: key withdrawn',
			target: '/entries/yu',
			key: schoolKey,
		});
		lines.push(`stop: exit code ${await first.stop()}`);
		const actual = `${lines.join('\n')}\n`;
		if (process.env.UPDATE_GOLDEN === '1') {
			writeFileSync(goldenFile, actual);
		}

		expect(actual).toEqual(readFileSync(goldenFile, 'utf8'));
	});
});

/** Describes a response without ports, ids and server numbers, which vary between runs. */
function describeResponse(response: Response, text: string): string {
	if (!response.headers.get('content-type')?.includes('json')) {
		return text;
	}

	const body = JSON.parse(text) as {
		hosts?: Array<{name: string}>;
		kind?: string;
		notRun?: boolean;
		server?: string;
		customer?: string;
	};
	if (body.hosts !== undefined) {
		return `hosts ${body.hosts.map(({name}) => name).join(', ')}`;
	}

	return body.kind === undefined
		? `served in ${body.server?.split('-')[1]} for ${body.customer ?? 'nobody'}`
		: `${body.kind}, notRun ${String(body.notRun)}`;
}
