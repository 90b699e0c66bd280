import {createKernel, type Kernel} from '@parsleyvale/kernel';
import type {EntryHost} from '@parsleyvale/shared';
import {
	createClaims,
	createRequests,
	type RequestsOptions,
} from '../src/index.js';
import {
	FakeBudgets,
	FakeMembership,
	FakeRouter,
	createFakeServices,
	type FakeConfiguration,
} from './fake-services.js';

export type FakeHostOptions = RequestsOptions & {
	/** Concurrent requests that the pool accepts from the host. */
	readonly slots?: number;
	readonly configuration: FakeConfiguration;
	readonly listLive: () => readonly EntryHost[];
};

/** Kernel with the plug-ins of this package and fakes for the others. */
export type FakeHost = {
	readonly identity: EntryHost;
	readonly kernel: Kernel;
	readonly budgets: FakeBudgets;
	readonly router: FakeRouter;
};

export function createFakeHost(
	name: string,
	incarnationNumber: number,
	options: FakeHostOptions,
): FakeHost {
	const identity: EntryHost = {
		name,
		incarnation: `${name}.${incarnationNumber}`,
		region: 'tpe',
		failureDomain: 'tpe-a',
		callers: {address: '127.0.0.1', port: 1},
		peers: {address: '127.0.0.1', port: 2},
		leaving: false,
	};
	const {configuration, listLive, slots} = options;
	const budgets = new FakeBudgets();
	const router = new FakeRouter(slots);
	const membership = new FakeMembership(listLive);
	const kernel = createKernel({self: identity, random: () => 0})
		.use(createFakeServices({configuration, budgets, router, membership}))
		.use(createClaims(options))
		.use(createRequests(options));
	return {identity, kernel, budgets, router};
}
