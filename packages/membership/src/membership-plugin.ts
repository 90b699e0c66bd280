import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {
	Plugin,
	configurationKey,
	membershipKey,
	type ConfigurationView,
	type Context,
	type Kernel,
	type LookUpArrived,
	type PeerMessage,
} from '@parsleyvale/kernel';
import {GracefulLeave} from './graceful-leave.js';
import {Heartbeats} from './heartbeats.js';
import {LiveMembership} from './live-membership.js';
import {LoadWeight} from './load-weight.js';
import {chooseHosts, type LookUpHost} from './look-up.js';
import {MemberTable} from './member-table.js';
import {heartbeatSchema, topics} from './messages.js';
import {
	livenessTimeout,
	defaultLookUpLifetime,
	type MembershipOptions,
} from './options.js';

/** Interval between checks for changes of the live hosts. */
const compareInterval: Milliseconds = 500;

/** After a longer pause of this host, failure detection starts anew. */
const maxPause: Milliseconds = livenessTimeout / 4;

/** Tracks live entry hosts and answers look-ups. */
export class MembershipPlugin extends Plugin {
	readonly #options: MembershipOptions;
	readonly #lookUpLifetime: Milliseconds;
	readonly #loadWeight = new LoadWeight();
	#self!: EntryHost;
	#table!: MemberTable;
	#heartbeats!: Heartbeats;
	#gracefulLeave!: GracefulLeave;
	#membership!: LiveMembership;
	#configuration!: ConfigurationView;
	#lastActiveAt: Milliseconds | undefined;
	#lastMembers = new Set<EntryHost>();
	#lastComparedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(options: MembershipOptions = {}) {
		super();
		this.#options = options;
		this.#lookUpLifetime = options.lookUpLifetimeMs ?? defaultLookUpLifetime;
	}

	get name(): string {
		return 'membership';
	}

	override isBusy(now: Milliseconds): boolean {
		return this.#gracefulLeave.isBusy(now);
	}

	install(kernel: Kernel): void {
		const {self, random} = kernel;
		this.#self = self;
		this.#configuration = kernel.inject(configurationKey);
		this.#table = new MemberTable(self);
		this.#membership = new LiveMembership(self, this.#table);
		this.#gracefulLeave = new GracefulLeave(this.#table, this.#lookUpLifetime);
		this.#heartbeats = new Heartbeats({
			self,
			random,
			table: this.#table,
			loadWeight: this.#loadWeight,
		});
		this.#onEvents(kernel);
		kernel.provide(membershipKey, this.#membership);
	}

	#onEvents(kernel: Kernel): void {
		kernel.on('hosts-listed', ({hosts}, context) => {
			this.#table.onListed(hosts, context.now);
			this.#raiseChanges(context);
		});
		kernel.on('peer-message', (event, context) => {
			this.#checkPause(context.now);
			this.#onMessage(event, context);
		});
		kernel.on('tick', (_event, context) => {
			this.#onTick(context);
		});
		kernel.on('request-arrived', () => {
			this.#loadWeight.onRequest();
		});
		kernel.on('stop-requested', (_event, context) => {
			this.#heartbeats.stop();
			this.#gracefulLeave.start(context);
		});
		kernel.on('look-up-arrived', (event, context) => {
			this.#onLookUp(event, context);
		});
	}

	#onTick(context: Context): void {
		const {now} = context;
		this.#checkPause(now);
		this.#loadWeight.onTick(() => this.#getMeanRequestRate(now), now);
		this.#heartbeats.onTick(context);
		this.#gracefulLeave.onTick(context);
		if (now - this.#lastComparedAt >= compareInterval) {
			this.#lastComparedAt = now;
			this.#table.removeExpired(now);
			this.#raiseChanges(context);
		}
	}

	#checkPause(now: Milliseconds): void {
		const pause = now - (this.#lastActiveAt ?? now);
		this.#lastActiveAt = now;
		if (pause > maxPause) {
			this.#table.onResumed(now);
		}
	}

	#onMessage(event: PeerMessage, context: Context): void {
		const {from, topic, payload} = event;
		switch (topic) {
			case topics.heartbeat: {
				const heartbeat = heartbeatSchema.safeParse(payload);
				if (heartbeat.success) {
					this.#heartbeats.onHeartbeat(from, heartbeat.data, context.now);
				}

				break;
			}

			case topics.leaving: {
				const entry = this.#table.onMessageFrom(from, context.now);
				if (entry !== undefined) {
					entry.isLeaving = true;
				}

				context.emit({
					type: 'send-peer',
					to: from.name,
					topic: topics.leavingAcknowledged,
					payload: {},
				});
				break;
			}

			case topics.leavingAcknowledged: {
				this.#gracefulLeave.onAcknowledged(from.name);
				break;
			}

			default:
		}
	}

	#onLookUp(event: LookUpArrived, context: Context): void {
		const hosts = chooseHosts(
			{
				customer: this.#findCustomer(event.keyHash, context.now),
				callerAddress: event.callerAddress,
				region: this.#getRegion(event.callerAddress),
			},
			this.#listCandidates(context.now),
			this.#configuration.current?.configuration,
		);
		context.emit({
			type: 'answer-look-up',
			lookUpId: event.lookUpId,
			hosts,
			lifetime: this.#lookUpLifetime,
		});
	}

	/** Falls back to drained hosts, then to stopping ones, if there are no others. */
	#listCandidates(now: Milliseconds): LookUpHost[] {
		const own = {
			name: this.#self.name,
			weight: this.#loadWeight.weight,
			host: this.#self,
			isLeaving: this.#heartbeats.isLeaving,
		};
		const all = [
			own,
			...[...this.#table.entries]
				.filter((entry) => this.#table.isUsable(entry, now))
				.map((entry) => ({
					name: entry.host.name,
					weight: entry.weight,
					host: entry.host,
					isLeaving: entry.isLeaving,
				})),
		];
		const drained = this.#listDrained();
		const remaining = all.filter(({isLeaving}) => !isLeaving);
		const usable = remaining.filter((host) => !drained.has(host.name));
		return [usable, remaining].find((list) => list.length > 0) ?? all;
	}

	#listDrained(): Set<string> {
		const drains = this.#configuration.current?.configuration.drains ?? [];
		const running = drains.filter(
			({state, target}) => state === 'running' && target.kind === 'entry-host',
		);
		return new Set(running.map(({target}) => target.name));
	}

	#findCustomer(
		keyHash: string | undefined,
		now: Milliseconds,
	): string | undefined {
		return keyHash === undefined
			? undefined
			: this.#configuration.identify(keyHash, now).unwrapOr(undefined);
	}

	#getRegion(callerAddress: string): string {
		const {sitesBySubnet, regionsBySite} = this.#options;
		const site = sitesBySubnet?.findByText(callerAddress);
		const region = site === undefined ? undefined : regionsBySite?.[site];
		return region ?? this.#self.region;
	}

	/** Mean request rate of the other live hosts in this host's region. */
	#getMeanRequestRate(now: Milliseconds): number | undefined {
		const requestRates = this.#table
			.listLive(now)
			.filter(({host}) => host.region === this.#self.region)
			.map(({requestRate}) => requestRate);
		let sum = 0;
		for (const load of requestRates) {
			sum += load;
		}

		return requestRates.length === 0 ? undefined : sum / requestRates.length;
	}

	/** Raises `members-changed` only if the set of live hosts has changed. */
	#raiseChanges(context: Context): void {
		const {now} = context;
		const live = this.#table.listLive(now).map(({host}) => host);
		const isSame =
			live.length === this.#lastMembers.size &&
			live.every((host) => this.#lastMembers.has(host));
		if (!isSame) {
			this.#lastMembers = new Set(live);
			const members = this.#membership.listLive(now);
			context.raise({type: 'members-changed', members});
		}
	}
}

/**
 * Creates the plug-in that tracks live entry hosts and answers look-ups. Install
 * the configuration plug-in before it.
 *
 * @example
 * kernel.use(createConfiguration()).use(createMembership());
 */
export function createMembership(
	options: MembershipOptions = {},
): MembershipPlugin {
	return new MembershipPlugin(options);
}
