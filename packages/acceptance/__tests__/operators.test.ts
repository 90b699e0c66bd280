import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {expect} from 'earl';
import type {Configuration} from '@parsleyvale/shared';
import {
	createFleet,
	startSample,
	type Fleet,
	type Host,
	type Sample,
} from '../src/index.js';

type Answer = {readonly version?: number; readonly kind?: string};

describe('operators of separate processes', () => {
	let fleet: Fleet;
	let sample: Sample;

	beforeEach(async () => {
		fleet = createFleet();
		sample = await startSample(fleet, 1);
	});

	afterEach(async () => {
		await fleet.close();
	});

	/** The sample with another rate for its first customer. */
	function toChanged(ratePerSecond: number): Configuration {
		const [first, ...others] = sample.configuration.customers;
		return {
			...sample.configuration,
			customers: [{...first!, ratePerSecond}, ...others],
		};
	}

	async function propose(
		host: Host,
		operation: string,
		ratePerSecond: number,
	): Promise<Answer> {
		const target = `/configuration?expected=1&operation=${operation}`;
		const body = toChanged(ratePerSecond);
		const answer = await fleet.callHost(host, 'PUT', target, body);
		return answer as Answer;
	}

	async function listInForce(): Promise<string[]> {
		const all = await Promise.all(
			sample.hosts.map(async (host) =>
				fleet.callHost(host, 'GET', '/configuration'),
			),
		);
		return all.map((each) => {
			const {version, configuration} = each as {
				version: number;
				configuration: Configuration;
			};
			return `${version}: ${configuration.customers[0]!.ratePerSecond}`;
		});
	}

	it('racing at two entry hosts: one is accepted, the other told of the conflict', async () => {
		const [first, second] = sample.hosts as [Host, Host];
		const answers = await Promise.all([
			propose(first, 'operation-a', 301),
			propose(second, 'operation-b', 302),
		]);
		const kinds = answers.map(({kind}) => kind ?? 'accepted');
		expect(kinds.sort()).toEqual(['accepted', 'version-conflict']);
		await wait(1000);
		const [one = '', other] = await listInForce();
		expect(other).toEqual(one);
		expect(one).toMatchRegex(/^2: 30[12]$/);
	});

	it('whose answers the store loses: the change is made once and told as accepted', async () => {
		await fleet.callStore('PUT', '/faults', {mode: 'lose-answers'});
		const proposed = propose(sample.hosts[0]!, 'operation-c', 303);
		await wait(1000);
		await fleet.callStore('PUT', '/faults', {mode: 'none'});
		expect(await proposed).toEqual({version: 2});
		const repeated = await propose(sample.hosts[1]!, 'operation-c', 303);
		expect(repeated).toEqual({version: 2});
		await wait(1000);
		expect(await listInForce()).toEqual(['2: 303', '2: 303']);
	});
});
