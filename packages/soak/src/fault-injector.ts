import {setTimeout as wait} from 'node:timers/promises';
import type {Clock, Milliseconds} from '@parsleyvale/shared';
import {evacuated, openKeys} from './deployment.js';
import type {Fleet} from './fleet.js';
import type {Evidence} from './oracle.js';
import type {Fault} from './plan.js';

/** An entry lapses after three heartbeats of 1.5 s. */
const lapseTime: Milliseconds = 4500;
/** A server that leaves goes on serving for so long. */
const leaveTime: Milliseconds = 4000;
/** A daemon that was ended is started again after this time. */
const restartPause: Milliseconds = 300;

type FaultOf<Kind extends Fault['kind']> = Extract<Fault, {kind: Kind}>;

/** Applies the faults of a plan to a fleet and records when they lay. */
export class FaultInjector {
	readonly faults: Array<Evidence['faults'][number]> = [];
	readonly allBackAt: Milliseconds[] = [];
	readonly evacuations: Array<{from: Milliseconds; to: Milliseconds}> = [];
	readonly #fleet: Fleet;
	readonly #clock: Clock;
	readonly #busy = new Set<unknown>();
	#storeFaults = 0;

	constructor(fleet: Fleet, clock: Clock) {
		this.#fleet = fleet;
		this.#clock = clock;
	}

	/** Applies one fault and takes it back after its span. */
	async inject(fault: Fault): Promise<void> {
		const from = this.#clock.now();
		const record = {kind: fault.kind, from, to: Number.POSITIVE_INFINITY};
		this.faults.push(record);
		await this.#apply(fault);
		record.to = this.#clock.now();
	}

	async #apply(fault: Fault): Promise<void> {
		switch (fault.kind) {
			case 'store': {
				await this.#disturbStore(fault);
				break;
			}

			case 'store-forgets': {
				this.#fleet.store.forgetHistory();
				break;
			}

			case 'store-link': {
				const {toStore} = this.#fleet.daemons[fault.target]!;
				await this.#disturbLink(toStore, fault);
				break;
			}

			case 'server-link': {
				const {link} = this.#fleet.backends[fault.target]!;
				await this.#disturbLink(link, fault);
				break;
			}

			case 'server': {
				const {server} = this.#fleet.backends[fault.target]!;
				server.mode = fault.mode;
				await wait(fault.span);
				server.mode = 'sound';
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
				await this.#disturbDaemon(fault);
				break;
			}

			case 'kill-all': {
				await this.#killAll();
				break;
			}

			case 'revoke': {
				this.#revokeNext();
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

	async #evacuate({span}: FaultOf<'evacuate'>): Promise<void> {
		const {store} = this.#fleet;
		await this.#exclude(evacuated, async () => {
			store.put('evacuations', evacuated, {});
			const evacuation = {
				from: this.#clock.now(),
				to: Number.POSITIVE_INFINITY,
			};
			this.evacuations.push(evacuation);
			await wait(span);
			store.remove('evacuations', evacuated);
			evacuation.to = this.#clock.now();
		});
	}

	async #disturbStore({mode, span}: FaultOf<'store'>): Promise<void> {
		this.#storeFaults += 1;
		this.#fleet.store.mode = mode;
		await wait(span);
		this.#storeFaults -= 1;
		if (this.#storeFaults === 0) {
			this.#fleet.store.mode = 'serves';
		}
	}

	async #disturbLink(
		link: Fleet['backends'][number]['link'],
		{mode, span}: FaultOf<'store-link' | 'server-link'>,
	): Promise<void> {
		link.mode = mode;
		await wait(span);
		link.mode = 'sound';
	}

	async #replaceServer({
		kind,
		target,
	}: FaultOf<'server-crash' | 'server-leave'>): Promise<void> {
		const backend = this.#fleet.backends[target]!;
		await this.#exclude(backend, async () => {
			if (kind === 'server-leave') {
				this.#fleet.drainServer(target);
				await wait(leaveTime);
			} else {
				backend.server.close();
				await wait(lapseTime);
			}

			await this.#fleet.replaceServer(backend);
		});
	}

	async #disturbDaemon({
		kind,
		target,
		span,
	}: FaultOf<
		'daemon-kill' | 'daemon-stop' | 'daemon-pause' | 'daemon-reload'
	>): Promise<void> {
		const daemon = this.#fleet.daemons[target]!;
		const {process} = daemon;
		await this.#exclude(process, async () => {
			if (kind === 'daemon-reload') {
				process.signal('SIGHUP');
			} else if (kind === 'daemon-pause') {
				process.signal('SIGSTOP');
				await wait(span);
				process.signal('SIGCONT');
			} else {
				await process.end(kind === 'daemon-kill' ? 'SIGKILL' : 'SIGTERM');
				await wait(restartPause);
				process.start();
				await this.#fleet.waitUntilReady(daemon);
			}
		});
	}

	async #killAll(): Promise<void> {
		let backAt: Milliseconds | undefined;
		await Promise.all(
			this.#fleet.daemons.map(async (daemon) =>
				this.#exclude(daemon.process, async () => {
					await daemon.process.end('SIGKILL');
					daemon.process.start();
					backAt = this.#clock.now();
					await this.#fleet.waitUntilReady(daemon);
				}),
			),
		);
		if (backAt !== undefined) {
			this.allBackAt.push(backAt);
		}
	}

	#revokeNext(): void {
		// Two keys stay, so that there is load to the end.
		const withdrawable = openKeys.slice(0, -2);
		const key = withdrawable.find((known) => !this.#fleet.revokedAt.has(known));
		if (key !== undefined) {
			this.#fleet.revoke(key);
		}
	}

	/** One fault at a time for a process or a server; a second one passes. */
	async #exclude(target: unknown, action: () => Promise<void>): Promise<void> {
		if (this.#busy.has(target)) {
			return;
		}

		this.#busy.add(target);
		await action();
		this.#busy.delete(target);
	}
}
