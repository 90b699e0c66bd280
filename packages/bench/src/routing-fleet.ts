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
	type RequestResults,
} from './routing-fake-requests.js';
import {
	createRandom,
	hostCount,
	createHosts,
	createArrival,
} from './routing-fleet-hosts.js';
import {FakeServer} from './routing-fake-server.js';
import {
	createBehaviour,
	createFleetConfiguration,
	faultStartsAt,
	listLateJoiningServers,
	listShifts,
	type FleetProfile,
	type ScenarioName,
} from './routing-scenarios.js';
import {VirtualClock} from './routing-virtual-clock.js';

const tickInterval: Milliseconds = 100;
const runDuration: Milliseconds = 10 * second;
const meanServiceTime: Milliseconds = 20;
/** Timeout of a connection attempt to a server. */
const connectTimeout: Milliseconds = 250;

export type FleetOptions = {
	readonly profile: FleetProfile;
	readonly scenario: ScenarioName;
	readonly chooser: ChooserName;
	/** Offered load as a fraction of all slots. */
	readonly load: number;
	readonly seed: number;
};

export type FleetReport = {
	readonly results: RequestResults;
	/** Highest ratio of a server's peak load to its slots. */
	readonly peakLoadRatio: number;
	/** Times at which a request was shifted to another region. */
	readonly shiftedAt: readonly Milliseconds[];
	/** Times at which a host paused its shift. */
	readonly pausedAt: readonly Milliseconds[];
};

/** Runs ten hosts with the real routing plug-in against fake servers. */
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
	readonly #fullConfiguration: Configuration;
	readonly #shiftedAt: Milliseconds[] = [];
	readonly #pausedAt: Milliseconds[] = [];
	#requestCount = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = createRandom(options.seed);
		this.#fullConfiguration = createFleetConfiguration(
			options.profile,
			[],
			listShifts(options.profile, options.scenario),
		);
		for (const server of this.#fullConfiguration.pools[0]!.servers) {
			this.#servers.set(server.name, this.#createServer(server));
		}

		this.#hosts = createHosts(options.profile);
		const budgets = new FakeBudgets(this.#clock);
		this.#kernels = this.#hosts.map((host) => this.#createHost(host, budgets));
	}

	run(): FleetReport {
		const {profile, scenario} = this.#options;
		const lateServers = listLateJoiningServers(profile, scenario);
		this.#applyConfiguration(createFleetConfiguration(profile, lateServers), 1);
		this.#clock.schedule(faultStartsAt, () => {
			this.#applyConfiguration(this.#fullConfiguration, 2);
		});
		for (const kernel of this.#kernels) {
			kernel.handle({type: 'members-changed', members: this.#hosts}, 0);
			this.#startTicks(kernel);
			this.#startArrivals(kernel);
		}

		this.#clock.runUntil(runDuration);
		const peakLoadRatios = [...this.#servers.values()].map(
			(fakeServer) => fakeServer.peakLoad / fakeServer.server.slots,
		);
		return {
			results: this.#results,
			peakLoadRatio: Math.max(...peakLoadRatios),
			shiftedAt: this.#shiftedAt,
			pausedAt: this.#pausedAt,
		};
	}

	#createServer(server: Server): FakeServer {
		const {profile, scenario} = this.#options;
		return new FakeServer({
			server,
			behaviour: createBehaviour(profile, scenario, server, this.#random),
			clock: this.#clock,
			// The sum of two exponential variables has a lower variance than a single one of the same mean.
			sampleServiceTime: () =>
				this.#sampleExponential(meanServiceTime / 2) +
				this.#sampleExponential(meanServiceTime / 2),
		});
	}

	#createHost(host: EntryHost, budgets: FakeBudgets): Kernel {
		const kernel = createKernel({self: host, random: this.#random});
		const route = this.#fullConfiguration.routes[0]!;
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
				this.#shiftedAt.push(this.#clock.now);
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
		this.#clock.schedule(tickInterval, () => {
			this.#handle(kernel, {type: 'tick'});
			this.#startTicks(kernel);
		});
	}

	#startArrivals(kernel: Kernel): void {
		const slots = this.#fullConfiguration.pools[0]!.servers.reduce(
			(sum, server) => sum + server.slots,
			0,
		);
		const meanInterval =
			(meanServiceTime * hostCount) / (slots * this.#options.load);
		this.#clock.schedule(this.#sampleExponential(meanInterval), () => {
			this.#requestCount++;
			this.#handle(kernel, createArrival(`r${this.#requestCount}`));
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
		const fakeServer = this.#servers.get(server.name)!;
		const networkDelay = this.#computeNetworkDelay(kernel.self, server);
		const endAttempt = (outcome: AttemptOutcome, reportedLoad?: number) => {
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

		if (fakeServer.behaviour.isDown(sentAt)) {
			this.#clock.schedule(connectTimeout, () => {
				endAttempt('not-sent');
			});
			return;
		}

		const deadline = this.#fullConfiguration.routes[0]!.deadlineMs;
		this.#clock.schedule(deadline, () => {
			endAttempt('unknown');
		});
		this.#clock.schedule(networkDelay, () => {
			fakeServer.handle((response) => {
				if (fakeServer.behaviour.isDown(this.#clock.now)) {
					return;
				}

				this.#clock.schedule(networkDelay, () => {
					endAttempt(
						response.kind,
						response.kind === 'answered' ? response.reportedLoad : undefined,
					);
				});
			});
		});
	}

	#computeNetworkDelay(host: EntryHost, server: Server): Milliseconds {
		const {profile} = this.#options;
		if (host.region !== server.region) {
			return profile.regionDelay;
		}

		return host.failureDomain === server.failureDomain
			? 0
			: profile.failureDomainDelay;
	}

	#sampleExponential(mean: Milliseconds): Milliseconds {
		return -mean * Math.log(1 - this.#random());
	}
}
