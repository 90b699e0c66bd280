import {
	createKernel,
	routerKey,
	type Choice,
	type Context,
	type Effect,
	type AttemptResult,
	type KernelEvent,
	type Kernel,
	type Router,
	type RoutingRequest,
} from '@parsleyvale/kernel';
import type {
	Configuration,
	ErrorKind,
	Milliseconds,
	Route,
} from '@parsleyvale/shared';
import type {Result} from 'true-myth';
import {
	createRouting,
	type RoutingOptions,
	type RoutingPlugin,
} from '../../src/index.js';
import {CountingBudgets, CountingBudgetsPlugin} from './counting-budgets.js';

const answered: AttemptResult = {
	outcome: 'answered',
	status: 200,
	latency: 10,
	bytes: 100,
	reportedLoad: undefined,
};

/**
 * Entry host, by default in tpe, with the real plug-in and in-memory budgets.
 */
export class RoutingHost {
	readonly budgets: CountingBudgets;
	readonly kernel: Kernel;
	readonly plugin: RoutingPlugin;
	readonly router: Router;
	readonly effects: Effect[] = [];
	readonly raised: KernelEvent[] = [];
	now: Milliseconds = 0;
	#version = 0;
	#requests = 0;

	constructor(
		options: RoutingOptions & {
			readonly random?: () => number;
			readonly budgets?: CountingBudgets;
			readonly name?: string;
			readonly region?: string;
		} = {},
	) {
		this.budgets = options.budgets ?? new CountingBudgets();
		const region = options.region ?? 'tpe';
		this.plugin = createRouting(options);
		this.kernel = createKernel({
			self: {
				name: options.name ?? 'tpe-a-host',
				incarnation: '1',
				region,
				failureDomain: `${region}-a`,
				callers: {address: '127.0.0.1', port: 1},
				peers: {address: '127.0.0.1', port: 2},
				leaving: false,
			},
			random: options.random ?? (() => 0),
		})
			.use(new CountingBudgetsPlugin(this.budgets))
			.use(this.plugin);
		this.router = this.kernel.inject(routerKey);
	}

	get context(): Context {
		return {
			now: this.now,
			emit: (effect) => {
				this.effects.push(effect);
			},
			raise: (event) => {
				this.raised.push(event);
			},
		};
	}

	applyConfiguration(configuration: Configuration): void {
		this.#version++;
		this.handle({
			type: 'configuration-changed',
			current: {version: this.#version, operationId: '', configuration},
		});
	}

	handle(event: KernelEvent): void {
		this.effects.push(...this.kernel.handle(event, this.now));
	}

	choose(
		route: Route,
		request: Partial<RoutingRequest> = {},
	): Result<Choice, ErrorKind> {
		this.#requests++;
		return this.router.chooseServer(
			{
				requestId: `request-${this.#requests}`,
				route,
				customer: undefined,
				bodyBytes: 0,
				deadline: this.now + route.deadlineMs,
				triedServers: [],
				...request,
			},
			this.context,
		);
	}

	end(choice: Choice, result: Partial<AttemptResult> = {}): void {
		this.router.endAttempt(choice, {...answered, ...result}, this.context);
	}
}
