import {randomUUID} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {Caller} from './caller.js';
import {evacuatedFailureDomain, unlimitedKeys} from './deployment.js';
import {entryExpiryTime, type Fleet} from './fleet.js';
import {deadlyIdPrefix, type RunHistory} from './oracle.js';
import type {Fault} from './plan.js';
import {deadlyEnding} from './server-stand-in.js';
import type {StatedLimit} from './stated-limits.js';

/** How long a draining server keeps serving. */
const drainDuration: Milliseconds = 4000;
const deadlyRequestInterval: Milliseconds = 250;
/** Delay between the end of a daemon and its restart. */
const restartDelay: Milliseconds = 300;

type FaultOf<Kind extends Fault['kind']> = Extract<Fault, {kind: Kind}>;

/** Applies the faults of a plan to a fleet and records when each was active. */
export class FaultInjector {
	readonly faults: Array<RunHistory['faults'][number]> = [];
	readonly allRestartedAt: Milliseconds[] = [];
	readonly evacuations: Array<{from: Milliseconds; to: Milliseconds}> = [];
	readonly statedLimits: StatedLimit[] = [];
	readonly #fleet: Fleet;
	readonly #clock: Clock;
	readonly #busyTargets = new Set<unknown>();
	#activeStoreFaults = 0;

	constructor(fleet: Fleet, clock: Clock) {
		this.#fleet = fleet;
		this.#clock = clock;
	}

	/** Applies one fault and reverts it after its duration. */
	async inject(fault: Fault): Promise<void> {
		const from = this.#clock.now();
		const record = {
			kind: fault.kind,
			target: this.#findTargetName(fault),
			from,
			to: Number.POSITIVE_INFINITY,
		};
		this.faults.push(record);
		await this.#apply(fault);
		record.to = this.#clock.now();
	}

	/** Returns the name of the daemon, or the id of the server, that the fault concerns alone. */
	#findTargetName(fault: Fault): string | undefined {
		if (!('target' in fault)) {
			return undefined;
		}

		const isAtServer = fault.kind.startsWith('server');
		return isAtServer
			? this.#fleet.backends[fault.target]!.server.id
			: this.#fleet.daemons[fault.target]!.process.name;
	}

	async #apply(fault: Fault): Promise<void> {
		switch (fault.kind) {
			case 'store': {
				await this.#applyStoreFault(fault);
				break;
			}

			case 'store-forgets': {
				this.#fleet.store.forgetHistory();
				break;
			}

			case 'store-returns': {
				await this.#returnStore(fault);
				break;
			}

			case 'store-link': {
				const {storeLink} = this.#fleet.daemons[fault.target]!;
				await this.#applyLinkFault(storeLink, fault);
				break;
			}

			case 'server-link': {
				const {link} = this.#fleet.backends[fault.target]!;
				await this.#applyLinkFault(link, fault);
				break;
			}

			case 'server': {
				const {server} = this.#fleet.backends[fault.target]!;
				server.mode = fault.mode;
				await wait(fault.duration);
				server.mode = 'sound';
				break;
			}

			case 'server-limit': {
				await this.#stateLimit(fault);
				break;
			}

			case 'deadly-request': {
				await this.#sendDeadlyRequests(fault);
				break;
			}

			case 'server-crash':
			case 'server-leave': {
				await this.#replaceServer(fault);
				break;
			}

			case 'daemon-kill':
			case 'daemon-stop':
			case 'daemon-pause':
			case 'daemon-reload': {
				await this.#applyDaemonFault(fault);
				break;
			}

			case 'kill-all': {
				await this.#killAllDaemons();
				break;
			}

			case 'revoke': {
				this.#revokeNextKey();
				break;
			}

			case 'evacuate': {
				await this.#evacuate(fault);
				break;
			}

			case 'configuration': {
				this.#fleet.writeConfiguration();
				break;
			}
		}
	}

	async #evacuate({duration}: FaultOf<'evacuate'>): Promise<void> {
		const {store} = this.#fleet;
		await this.#runExclusively(evacuatedFailureDomain, async () => {
			store.put('evacuations', evacuatedFailureDomain, {});
			const evacuation = {
				from: this.#clock.now(),
				to: Number.POSITIVE_INFINITY,
			};
			this.evacuations.push(evacuation);
			await wait(duration);
			store.remove('evacuations', evacuatedFailureDomain);
			evacuation.to = this.#clock.now();
		});
	}

	async #applyStoreFault({mode, duration}: FaultOf<'store'>): Promise<void> {
		this.#activeStoreFaults += 1;
		this.#fleet.store.mode = mode;
		await wait(duration);
		this.#endStoreFault();
	}

	async #returnStore({
		duration,
		downtime,
	}: FaultOf<'store-returns'>): Promise<void> {
		const {store} = this.#fleet;
		await this.#runExclusively(store, async () => {
			store.takeBackup();
			await wait(duration - downtime);
			this.#activeStoreFaults += 1;
			store.mode = 'busy';
			await wait(downtime);
			store.restoreBackup();
			const isEvacuated = this.evacuations.some(({to}) => !Number.isFinite(to));
			this.#fleet.writeAgain(isEvacuated);
			this.#endStoreFault();
		});
	}

	#endStoreFault(): void {
		this.#activeStoreFaults -= 1;
		if (this.#activeStoreFaults === 0) {
			this.#fleet.store.mode = 'serves';
		}
	}

	async #applyLinkFault(
		link: Fleet['backends'][number]['link'],
		{mode, duration}: FaultOf<'store-link' | 'server-link'>,
	): Promise<void> {
		link.mode = mode;
		await wait(duration);
		link.mode = 'sound';
	}

	async #sendDeadlyRequests({
		duration,
	}: FaultOf<'deadly-request'>): Promise<void> {
		const caller = new Caller(this.#clock);
		const end = this.#clock.now() + duration;
		for (let count = 0; this.#clock.now() < end; count++) {
			const {process, callerEndpoint} =
				this.#fleet.daemons[count % this.#fleet.daemons.length]!;
			const request = {
				id: `${deadlyIdPrefix}${randomUUID()}`,
				key: unlimitedKeys.at(-1)!,
				isSafe: true,
				daemon: process.name,
				endpoint: callerEndpoint,
				path: `/read${deadlyEnding}`,
			};
			void caller.send(request, () => undefined);
			await wait(deadlyRequestInterval);
		}

		caller.close();
		await wait(entryExpiryTime);
	}

	async #stateLimit({
		target,
		perSecond,
		duration,
	}: FaultOf<'server-limit'>): Promise<void> {
		const {server} = this.#fleet.backends[target]!;
		const from = this.#clock.now();
		const limit = {
			server: server.id,
			perSecond,
			from,
			to: Number.POSITIVE_INFINITY,
		};
		this.statedLimits.push(limit);
		server.statedLimit = perSecond;
		await wait(duration);
		server.statedLimit = undefined;
		limit.to = this.#clock.now();
	}

	async #replaceServer({
		kind,
		target,
	}: FaultOf<'server-crash' | 'server-leave'>): Promise<void> {
		const backend = this.#fleet.backends[target]!;
		await this.#runExclusively(backend, async () => {
			if (kind === 'server-leave') {
				this.#fleet.drainServer(target);
				await wait(drainDuration);
			} else {
				backend.server.close();
				await wait(entryExpiryTime);
			}

			await this.#fleet.replaceServer(backend);
		});
	}

	async #applyDaemonFault({
		kind,
		target,
		duration,
	}: FaultOf<
		'daemon-kill' | 'daemon-stop' | 'daemon-pause' | 'daemon-reload'
	>): Promise<void> {
		const daemon = this.#fleet.daemons[target]!;
		const {process} = daemon;
		await this.#runExclusively(process, async () => {
			if (kind === 'daemon-reload') {
				process.signal('SIGHUP');
			} else if (kind === 'daemon-pause') {
				process.signal('SIGSTOP');
				await wait(duration);
				process.signal('SIGCONT');
			} else {
				await process.terminate(kind === 'daemon-kill' ? 'SIGKILL' : 'SIGTERM');
				await wait(restartDelay);
				process.start();
				await this.#fleet.waitUntilReady(daemon);
			}
		});
	}

	async #killAllDaemons(): Promise<void> {
		let restartedAt: Milliseconds | undefined;
		await Promise.all(
			this.#fleet.daemons.map(async (daemon) =>
				this.#runExclusively(daemon.process, async () => {
					await daemon.process.terminate('SIGKILL');
					daemon.process.start();
					restartedAt = this.#clock.now();
					await this.#fleet.waitUntilReady(daemon);
				}),
			),
		);
		if (restartedAt !== undefined) {
			this.allRestartedAt.push(restartedAt);
		}
	}

	#revokeNextKey(): void {
		// Two keys are never revoked, so that there is load until the end of the run.
		const revocableKeys = unlimitedKeys.slice(0, -2);
		const key = revocableKeys.find(
			(candidate) => !this.#fleet.revokedAt.has(candidate),
		);
		if (key !== undefined) {
			this.#fleet.revokeKey(key);
		}
	}

	/** Allows one fault at a time per target; a second one is skipped. */
	async #runExclusively(
		target: unknown,
		action: () => Promise<void>,
	): Promise<void> {
		if (this.#busyTargets.has(target)) {
			return;
		}

		this.#busyTargets.add(target);
		await action();
		this.#busyTargets.delete(target);
	}
}
