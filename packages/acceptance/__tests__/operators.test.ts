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

type ProposalResponse = {readonly version?: number; readonly kind?: string};

describe('configuration changes by operators', () => {
	let fleet: Fleet;
	let sample: Sample;

	beforeEach(async () => {
		fleet = createFleet();
		sample = await startSample(fleet, 1);
	});

	afterEach(async () => {
		await fleet.close();
	});

	/** The sample's configuration with another rate for its first customer. */
	function changeRate(ratePerSecond: number): Configuration {
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
	): Promise<ProposalResponse> {
		const target = `/configuration?expected=1&operation=${operation}`;
		const body = changeRate(ratePerSecond);
		const response = await fleet.callHost(host, 'PUT', target, body);
		return response as ProposalResponse;
	}

	async function listActiveConfigurations(): Promise<string[]> {
		const responses = await Promise.all(
			sample.hosts.map(async (host) =>
				fleet.callHost(host, 'GET', '/configuration'),
			),
		);
		return responses.map((response) => {
			const {version, configuration} = response as {
				version: number;
				configuration: Configuration;
			};
			return `${version}: ${configuration.customers[0]!.ratePerSecond}`;
		});
	}

	it('accepts one of two concurrent proposals and reports a version conflict for the other', async () => {
		const [first, second] = sample.hosts as [Host, Host];
		const responses = await Promise.all([
			propose(first, 'operation-a', 301),
			propose(second, 'operation-b', 302),
		]);
		const kinds = responses.map(({kind}) => kind ?? 'accepted');
		expect(kinds.sort()).toEqual(['accepted', 'version-conflict']);
		await wait(1000);
		const [firstActive = '', secondActive] = await listActiveConfigurations();
		expect(secondActive).toEqual(firstActive);
		expect(firstActive).toMatchRegex(/^2: 30[12]$/);
	});

	it('applies a change once and reports it as accepted when the responses of the store are lost', async () => {
		await fleet.callStore('PUT', '/faults', {mode: 'lose-answers'});
		const proposed = propose(sample.hosts[0]!, 'operation-c', 303);
		await wait(1000);
		await fleet.callStore('PUT', '/faults', {mode: 'none'});
		expect(await proposed).toEqual({version: 2});
		const repeated = await propose(sample.hosts[1]!, 'operation-c', 303);
		expect(repeated).toEqual({version: 2});
		await wait(1000);
		expect(await listActiveConfigurations()).toEqual(['2: 303', '2: 303']);
	});
});
