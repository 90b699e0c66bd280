import {
	createKernel,
	type AttemptOutcome,
	type Kernel,
	type KernelEvent,
} from '@parsleyvale/kernel';
import {createRouting, type ChooserName} from '@parsleyvale/routing';
import {
	second,
	type Configuration,
	type EntryHost,
	type Milliseconds,
	type Server,
} from '@parsleyvale/shared';
import {FakeBudgets, FakeBudgetsPlugin} from './routing-fake-budgets.js';
import {
	FakeRequestsPlugin,
	createResults,
	type Results,
} from './routing-fake-requests.js';
import {
	createRandom,
	hostCount,
	listHosts,
	toArrival,
} from './routing-fleet-hosts.js';
import {FakeServer} from './routing-fake-server.js';
import {
	createBehaviour,
	createFleetConfiguration,
	faultAt,
	listLateServers,
	listShifts,
	type FleetSize,
	type ScenarioName,
} from './routing-scenarios.js';
import {VirtualClock} from './routing-virtual-clock.js';

const tickTime: Milliseconds = 100;
const runTime: Milliseconds = 10 * second;
const meanServiceTime: Milliseconds = 20;
/** A host that does not answer to a connection attempt is given up. */
const connectTimeout: Milliseconds = 250;

export type FleetOptions = {
	readonly size: FleetSize;
	readonly scenario: ScenarioName;
	readonly chooser: ChooserName;
	/** Arriving work as a part of all slots. */
	readonly load: number;
	readonly seed: number;
};

export type FleetReport = {
	readonly results: Results;
	/** The highest of the servers' peak loads against their slots. */
	readonly peak: number;
	/** When shifts moved a request. */
	readonly movedAt: readonly Milliseconds[];
	/** When a host's shift paused itself. */
	readonly pausedAt: readonly Milliseconds[];
};

/** Runs ten hosts with the real plug-in against fake servers. */
export function runFleet(options: FleetOptions): FleetReport {
	const fleet = new RoutingFleet(options);
	return fleet.run();
}

class RoutingFleet {
	readonly #options: FleetOptions;
	readonly #clock = new VirtualClock();
	readonly #random: () => number;
	readonly #results = createResults();
	readonly #servers = new Map<string, FakeServer>();
	readonly #kernels: Kernel[];
	readonly #hosts: EntryHost[];
	readonly #full: Configuration;
	readonly #movedAt: Milliseconds[] = [];
	readonly #pausedAt: Milliseconds[] = [];
	#requests = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		this.#full = createFleetConfiguration(
			options.size,
			[],
			listShifts(options.size, options.scenario),
		);
		for (const server of this.#full.pools[0]!.servers) {
			this.#servers.set(server.name, this.#createServer(server));
		}

		this.#hosts = listHosts(options.size);
		const budgets = new FakeBudgets(this.#clock);
		this.#kernels = this.#hosts.map((host) => this.#createHost(host, budgets));
	}

	run(): FleetReport {
		const {size, scenario} = this.#options;
		const late = listLateServers(size, scenario);
		this.#applyConfiguration(createFleetConfiguration(size, late), 1);
		this.#clock.start(faultAt, () => {
			this.#applyConfiguration(this.#full, 2);
		});
		for (const kernel of this.#kernels) {
			kernel.handle({type: 'members-changed', members: this.#hosts}, 0);
			this.#startTicks(kernel);
			this.#startArrivals(kernel);
		}

		this.#clock.runUntil(runTime);
		const peaks = [...this.#servers.values()].map(
			(fake) => fake.peakLoad / fake.server.slots,
		);
		return {
			results: this.#results,
			peak: Math.max(...peaks),
			movedAt: this.#movedAt,
			pausedAt: this.#pausedAt,
		};
	}

	#createServer(server: Server): FakeServer {
		const {size, scenario} = this.#options;
		return new FakeServer({
			server,
			behaviour: createBehaviour(size, scenario, server, this.#random),
			clock: this.#clock,
			// The sum of two exponential times: less scattered than one.
			sampleServiceTime: () =>
				this.#sampleExponential(meanServiceTime / 2) +
				this.#sampleExponential(meanServiceTime / 2),
		});
	}

	#createHost(host: EntryHost, budgets: FakeBudgets): Kernel {
		const kernel = createKernel({self: host, random: this.#random});
		const route = this.#full.routes[0]!;
		return kernel
			.use(
				new FakeBudgetsPlugin(budgets, (budgetId) => {
					this.#handle(kernel, {type: 'budget-changed', budgetId});
				}),
			)
			.use(createRouting({chooser: this.#options.chooser}))
			.use(
				new FakeRequestsPlugin(
					route,
					this.#results,
					(requestId, attempt, server) => {
						this.#send(kernel, requestId, attempt, server);
					},
				),
			);
	}

	#handle(kernel: Kernel, event: KernelEvent): void {
		for (const effect of kernel.handle(event, this.#clock.now)) {
			if (effect.type === 'count' && effect.labels.outcome === 'shifted') {
				this.#movedAt.push(this.#clock.now);
			}

			if (effect.type === 'count' && effect.labels.outcome === 'paused') {
				this.#pausedAt.push(this.#clock.now);
			}
		}
	}

	#applyConfiguration(configuration: Configuration, version: number): void {
		for (const kernel of this.#kernels) {
			this.#handle(kernel, {
				type: 'configuration-changed',
				current: {version, operationId: '', configuration},
			});
		}
	}

	#startTicks(kernel: Kernel): void {
		this.#clock.start(tickTime, () => {
			this.#handle(kernel, {type: 'tick'});
			this.#startTicks(kernel);
		});
	}

	#startArrivals(kernel: Kernel): void {
		const slots = this.#full.pools[0]!.servers.reduce(
			(sum, server) => sum + server.slots,
			0,
		);
		const gap = (meanServiceTime * hostCount) / (slots * this.#options.load);
		this.#clock.start(this.#sampleExponential(gap), () => {
			this.#requests++;
			this.#handle(kernel, toArrival(`r${this.#requests}`));
			this.#startArrivals(kernel);
		});
	}

	#send(
		kernel: Kernel,
		requestId: string,
		attempt: number,
		server: Server,
	): void {
		const sentAt = this.#clock.now;
		const fake = this.#servers.get(server.name)!;
		const way = this.#computeWay(kernel.self, server);
		const end = (outcome: AttemptOutcome, reportedLoad?: number) => {
			this.#handle(kernel, {
				type: 'attempt-ended',
				requestId,
				attempt,
				outcome,
				status: outcome === 'answered' ? 200 : undefined,
				latency: this.#clock.now - sentAt,
				bytes: 1000,
				repeatable: true,
				reportedLoad,
			});
		};

		if (fake.behaviour.isDead(sentAt)) {
			this.#clock.start(connectTimeout, () => {
				end('not-sent');
			});
			return;
		}

		const deadline = this.#full.routes[0]!.deadlineMs;
		this.#clock.start(deadline, () => {
			end('unknown');
		});
		this.#clock.start(way, () => {
			fake.handle((answer) => {
				if (fake.behaviour.isDead(this.#clock.now)) {
					return;
				}

				this.#clock.start(way, () => {
					end(
						answer.kind,
						answer.kind === 'answered' ? answer.reportedLoad : undefined,
					);
				});
			});
		});
	}

	#computeWay(host: EntryHost, server: Server): Milliseconds {
		const {size} = this.#options;
		if (host.region !== server.region) {
			return size.regionDelay;
		}

		return host.failureDomain === server.failureDomain
			? 0
			: size.failureDomainDelay;
	}

	#sampleExponential(mean: Milliseconds): Milliseconds {
		return -mean * Math.log(1 - this.#random());
	}
}
