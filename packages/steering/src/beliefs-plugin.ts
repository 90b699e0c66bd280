import {Plugin} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Beliefs, beliefsKey} from './beliefs.js';
import type {Digest} from './digest.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent, SteeringEventOf} from './event.js';
import type {FleetChange} from './fleet.js';
import type {Member} from './members.js';
import {Readers} from './readers.js';
import type {SteeringSettings} from './settings.js';
import type {SteeringContext, SteeringKernel} from './types.js';

/** A digest may have been this long on its way: the longest delay with jitter, doubled. */
const digestTransit: Milliseconds = 150;
/** Pause between two fetches of another host's copy; a fetch takes two round trips. */
const fetchInterval: Milliseconds = 150;
/** A host with hardly any requests learns of a server's leave well within the two seconds that the strictest platform allows. */
const idleFetchInterval: Milliseconds = 700;

/** Keeps what the host believes, from the store and from other hosts. */
export class BeliefsPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	readonly #beliefs: Beliefs;
	readonly #readers: Readers;
	#lastFetch: Milliseconds = Number.NEGATIVE_INFINITY;
	#isReadingTold = false;

	constructor(settings: SteeringSettings) {
		super();
		this.#beliefs = new Beliefs(settings);
		this.#readers = new Readers(this.#beliefs);
	}

	get name(): string {
		return 'beliefs';
	}

	install(kernel: SteeringKernel): void {
		kernel.provide(beliefsKey, this.#beliefs);
		kernel.on('configuration-read', (event, context) => {
			this.#onConfiguration(event, context);
		});
		kernel.on('configuration-confirmed', ({version, age}, {now}) => {
			this.#beliefs.configuration.confirm(version, now - age);
		});
		kernel.on('store-answered', (_event, context) => {
			this.#onStoreAnswered(context);
		});
		kernel.on('store-failed', ({reason}, context) => {
			this.#onStoreFailed(reason, context);
		});
		kernel.on('fleet-listed', (event, context) => {
			this.#onFleet(event, context);
		});
		kernel.on('hosts-listed', ({hosts}, {now}) => {
			this.#beliefs.members.onListed(hosts, now);
		});
		kernel.on('digest-received', ({digest}, context) => {
			this.#onDigest(digest, context);
		});
		kernel.on('suspended', (_event, context) => {
			this.#onSuspended(context);
		});
		kernel.on('stop-requested', (_event, context) => {
			this.#beliefs.isStopping = true;
			log(context, 'stopping', {});
		});
		kernel.on('tick', (_event, context) => {
			const {fleet, members} = this.#beliefs;
			for (const name of members.listSilent(context.now)) {
				fleet.applyLoad(name, {});
			}

			const gone = fleet.removeMissing(context.now);
			this.#logChanges(gone, fleet.revision, context);
			this.#fetchWhenBehind(context);
			this.#setReading(context);
		});
	}

	#onConfiguration(
		{configuration, age}: SteeringEventOf<'configuration-read'>,
		context: SteeringContext,
	): void {
		const state = this.#beliefs.configuration;
		const before = state.version;
		if (state.apply(configuration)) {
			log(context, 'configuration in force', {
				version: configuration.version,
				before,
				routes: configuration.routes.length,
				customers: configuration.customers.length,
			});
		}

		if (age !== undefined) {
			state.confirm(configuration.version, context.now - age);
		}
	}

	#onStoreAnswered(context: SteeringContext): void {
		this.#beliefs.storeOutage.onAnswered(context.now);
		if (this.#beliefs.isStoreLost) {
			this.#beliefs.isStoreLost = false;
			log(context, 'store regained', {});
		}
	}

	#onStoreFailed(reason: string, context: SteeringContext): void {
		if (!this.#beliefs.isStoreLost) {
			this.#beliefs.isStoreLost = true;
			log(context, 'store lost', {reason});
		}
	}

	#onFleet(
		list: SteeringEventOf<'fleet-listed'>,
		context: SteeringContext,
	): void {
		const {fleet, members, storeOutage} = this.#beliefs;
		const changes = fleet.apply(
			list,
			context.now,
			storeOutage.computeReturnEnd(members.listLive(context.now)),
		);
		this.#logChanges(changes, list.revision, context);
	}

	#logChanges(
		changes: readonly FleetChange[],
		revision: number,
		context: SteeringContext,
	): void {
		for (const {server, change} of changes) {
			log(context, 'server changed', {
				server: server.id,
				service: server.service,
				failureDomain: server.failureDomain,
				change,
				coldRemainingMs: server.coldRemainingMs,
				revision,
			});
		}
	}

	#onDigest(digest: Digest, context: SteeringContext): void {
		const {members, configuration, fleet} = this.#beliefs;
		const wasKnown = members
			.listLive(context.now)
			.some(({host}) => host.incarnation === digest.incarnation);
		if (!members.onDigest(digest, context.now)) {
			return;
		}

		if (!wasKnown) {
			log(context, 'host heard', {
				host: digest.name,
				incarnation: digest.incarnation,
			});
		}

		if (digest.storeRegainedAgoMs !== null) {
			this.#beliefs.storeOutage.onTold(digest.storeRegainedAgoMs, context.now);
		}

		if (digest.configurationAgeMs !== null) {
			const age = digest.configurationAgeMs + digestTransit;
			configuration.confirm(digest.configurationVersion, context.now - age);
		}

		for (const [id, object] of digest.handled ?? []) {
			fleet.states.get(id)?.onHandled(object);
		}

		for (const [id, object, left] of digest.firstWork ?? []) {
			fleet.states.get(id)?.onOthersFirst(object, context.now + left);
		}

		if (digest.inFlight !== undefined) {
			fleet.applyLoad(digest.name, digest.inFlight);
		}
	}

	#onSuspended(context: SteeringContext): void {
		this.#beliefs.configuration.clearFreshness();
		this.#beliefs.members.onSuspended();
		log(context, 'process was suspended', {});
	}

	#setReading(context: SteeringContext): void {
		const isReading = this.#readers.isReader(context.now);
		if (isReading !== this.#beliefs.isReading || !this.#isReadingTold) {
			this.#beliefs.isReading = isReading;
			this.#isReadingTold = true;
			if (isReading) {
				this.#beliefs.storeOutage.onReadingStarted(context.now);
			}

			context.emit({type: 'set-reading', isReading});
			log(context, isReading ? 'follows the store' : 'learns from others', {});
		}
	}

	/** Gets what is newer from a host that has it. */
	#fetchWhenBehind(context: SteeringContext): void {
		const {now} = context;
		const {members, configuration, fleet, settings} = this.#beliefs;
		const isNeeded = this.#beliefs.isActive(now) || !this.#beliefs.isReady;
		const interval = isNeeded ? fetchInterval : idleFetchInterval;
		if (now - this.#lastFetch < interval) {
			return;
		}

		const newer = members
			.listLive(now)
			.filter(
				({digest}) =>
					digest !== undefined &&
					(digest.configurationVersion > configuration.version ||
						digest.fleetRevision > fleet.revision ||
						digest.evacuationsRevision > fleet.evacuationsRevision),
			);
		// A near copy costs the shared links nothing; any of the hosts may have gone.
		const {region, failureDomain} = settings.self;
		const nearest = newer.filter(
			({host}) => host.failureDomain === failureDomain,
		);
		const near = newer.filter(({host}) => host.region === region);
		const sources = [nearest, near, newer].find((found) => found.length > 0);
		if (sources === undefined) {
			return;
		}

		const source = sources[Math.floor(settings.random() * sources.length)]!;

		this.#lastFetch = now;
		fetchFrom(source, context);
	}
}

function fetchFrom({host}: Member, context: SteeringContext): void {
	context.emit({
		type: 'fetch-copy',
		name: host.name,
		address: host.peerAddress,
		port: host.peerPort,
	});
}

function log(
	context: SteeringContext,
	message: string,
	fields: Readonly<Record<string, string | number>>,
): void {
	context.emit({type: 'log', weight: 'belief', message, fields});
}
