import {Plugin} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {CopyFetcher} from './copy-fetcher.js';
import {HostState, hostStateKey} from './host-state.js';
import type {Digest} from './messages/digest.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent, SteeringEventOf} from './event.js';
import {logRateLimitChange} from './admission/request-log.js';
import type {ServerChange} from './servers/server-table.js';
import {StoreReaders} from './readers.js';
import type {SteeringSettings} from './settings.js';
import {
	comparePositions,
	formatPosition,
	type StorePosition,
} from './store-position.js';
import type {SteeringContext, SteeringKernel} from './types.js';

/** Upper bound of the time that a digest is in transit: twice the longest network delay with jitter. */
const maximumDigestDelay: Milliseconds = 150;

/** Maintains this host's state from the store and from other hosts. */
export class HostStatePlugin extends Plugin<SteeringEvent, SteeringEffect> {
	readonly #hostState: HostState;
	readonly #readers: StoreReaders;
	readonly #copyFetcher: CopyFetcher;
	#hasAnnouncedReading = false;

	constructor(settings: SteeringSettings) {
		super();
		this.#hostState = new HostState(settings);
		this.#readers = new StoreReaders(this.#hostState);
		this.#copyFetcher = new CopyFetcher(this.#hostState);
	}

	get name(): string {
		return 'beliefs';
	}

	install(kernel: SteeringKernel): void {
		kernel.provide(hostStateKey, this.#hostState);
		kernel.on('configuration-read', (event, context) => {
			this.#onConfigurationRead(event, context);
		});
		kernel.on(
			'configuration-confirmed',
			({version, confirmationAge}, {now}) => {
				this.#hostState.configuration.confirm(version, now - confirmationAge);
			},
		);
		kernel.on('store-answered', ({heldDuration}, context) => {
			this.#onStoreAnswered(heldDuration, context);
		});
		kernel.on('store-failed', ({reason}, context) => {
			this.#onStoreFailed(reason, context);
		});
		kernel.on('fleet-listed', (event, context) => {
			this.#onFleetListed(event, context);
		});
		kernel.on('hosts-listed', ({hosts}, {now}) => {
			this.#hostState.members.onListed(hosts, now);
		});
		kernel.on('digest-received', (event, context) => {
			this.#onDigest(event, context);
		});
		kernel.on('suspended', (_event, context) => {
			this.#onSuspended(context);
		});
		kernel.on('stop-requested', (_event, context) => {
			this.#hostState.stopSchedule.start(context.now);
			log(context, 'stopping', {});
		});
		kernel.on('tick', (_event, context) => {
			const {serverTable, members} = this.#hostState;
			for (const name of serverTable.listHostsWithLoad()) {
				if (!members.isLive(name, context.now)) {
					serverTable.applyRemoteLoad(name, {}, context.now);
				}
			}

			const removed = serverTable.removeMissing(context.now);
			this.#logChanges(removed, serverTable.position, context);
			this.#fetchWhenBehind(context);
			this.#updateReading(context);
		});
	}

	#onConfigurationRead(
		{configuration, confirmationAge}: SteeringEventOf<'configuration-read'>,
		context: SteeringContext,
	): void {
		const state = this.#hostState.configuration;
		const before = state.version;
		if (state.apply(configuration)) {
			log(context, 'configuration in force', {
				version: configuration.version,
				before,
				routes: configuration.routes.length,
				customers: configuration.customers.length,
			});
		}

		if (confirmationAge !== undefined) {
			state.confirm(configuration.version, context.now - confirmationAge);
		}
	}

	#onStoreAnswered(heldDuration: Milliseconds, context: SteeringContext): void {
		this.#hostState.storeOutage.onAnswered(context.now, heldDuration);
		if (this.#hostState.isStoreUnreachable) {
			this.#hostState.isStoreUnreachable = false;
			log(context, 'store regained', {});
		}
	}

	#onStoreFailed(reason: string, context: SteeringContext): void {
		if (!this.#hostState.isStoreUnreachable) {
			this.#hostState.isStoreUnreachable = true;
			log(context, 'store lost', {reason});
		}
	}

	#onFleetListed(
		snapshot: SteeringEventOf<'fleet-listed'>,
		context: SteeringContext,
	): void {
		const {serverTable, members, storeOutage} = this.#hostState;
		this.#logOutdatedList(snapshot.position, context);
		if (
			serverTable.isRead &&
			snapshot.position.era > serverTable.position.era
		) {
			storeOutage.onRestored(context.now);
		}

		const changes = serverTable.apply(
			snapshot,
			context.now,
			storeOutage.computeReregistrationDeadline(
				members.listLive(context.now),
				context.now,
			),
		);
		this.#logChanges(changes, snapshot.position, context);
	}

	#logOutdatedList(position: StorePosition, context: SteeringContext): void {
		const known = this.#hostState.serverTable.position;
		if (comparePositions(position, known) < 0) {
			log(context, 'outdated list of servers discarded', {
				position: formatPosition(position),
				known: formatPosition(known),
			});
		}
	}

	#logChanges(
		changes: readonly ServerChange[],
		{era, revision}: StorePosition,
		context: SteeringContext,
	): void {
		const storeRegainedAgoMs =
			this.#hostState.storeOutage.computeTimeSinceOutage(context.now);
		for (const {server, kind} of changes) {
			log(context, 'server changed', {
				server: server.id,
				service: server.service,
				failureDomain: server.failureDomain,
				change: kind,
				coldRemainingMs: server.coldRemainingMs,
				era,
				revision,
				...(kind === 'missing' && storeRegainedAgoMs !== null
					? {storeRegainedAgoMs}
					: {}),
			});
		}
	}

	#onDigest(
		{digest, maximumQueueTime = 0}: SteeringEventOf<'digest-received'>,
		context: SteeringContext,
	): void {
		const {members, configuration, serverTable} = this.#hostState;
		const wasLive = members.isLiveIncarnation(digest, context.now);
		if (!members.onDigest(digest, context.now)) {
			return;
		}

		if (!wasLive) {
			log(context, 'host discovered', {
				host: digest.name,
				incarnation: digest.incarnation,
			});
		}

		this.#copyFetcher.onDigest(digest);
		if (digest.storeRegainedAgoMs !== null) {
			this.#hostState.storeOutage.onReported(
				digest.storeRegainedAgoMs,
				context.now,
			);
		}

		if (digest.configurationAgeMs !== null) {
			const age =
				digest.configurationAgeMs + maximumDigestDelay + maximumQueueTime;
			configuration.confirm(digest.configurationVersion, context.now - age);
		}

		for (const [id, object] of digest.handled ?? []) {
			serverTable.states.get(id)?.onHandled(object);
		}

		for (const [id, object, remaining] of digest.firstWork ?? []) {
			serverTable.states
				.get(id)
				?.onRemoteUncachedRun(object, context.now + remaining);
		}

		this.#applyRateLimits(digest, context);
		if (digest.inFlight !== undefined) {
			serverTable.applyRemoteLoad(digest.name, digest.inFlight, context.now);
		}
	}

	#applyRateLimits({rateLimits}: Digest, context: SteeringContext): void {
		const {states} = this.#hostState.serverTable;
		for (const [id, [limit, age]] of Object.entries(rateLimits ?? {})) {
			const state = states.get(id);
			const reportedAt = context.now - age - maximumDigestDelay;
			if (state?.applyRateLimit(limit ?? undefined, reportedAt)) {
				logRateLimitChange(state, context);
			}
		}
	}

	#onSuspended(context: SteeringContext): void {
		this.#hostState.configuration.clearConfirmation();
		this.#hostState.members.onSuspended();
		log(context, 'process was suspended', {});
	}

	#updateReading(context: SteeringContext): void {
		const isReading = this.#readers.isReader(context.now);
		if (isReading !== this.#hostState.isReading || !this.#hasAnnouncedReading) {
			this.#hostState.isReading = isReading;
			this.#hasAnnouncedReading = true;
			if (isReading) {
				this.#hostState.storeOutage.onReadingStarted(context.now);
			} else {
				this.#hostState.storeOutage.onReadingStopped();
			}

			context.emit({type: 'set-reading', isReading});
			log(
				context,
				isReading ? 'reading from the store' : 'reading from other hosts',
				{},
			);
		}
	}

	#fetchWhenBehind(context: SteeringContext): void {
		const source = this.#copyFetcher.chooseSource(context.now);
		if (source !== undefined) {
			const {name, peerAddress: address, peerPort: port} = source.host;
			context.emit({type: 'fetch-copy', name, address, port});
		}
	}
}

function log(
	context: SteeringContext,
	message: string,
	fields: Readonly<Record<string, string | number>>,
): void {
	context.emit({type: 'log', priority: 'belief', message, fields});
}
