import {
	versionedConfigurationSchema,
	type Milliseconds,
	type VersionedConfiguration,
} from '@parsleyvale/shared';
import {
	Plugin,
	configurationKey,
	type Context,
	type HostsListed,
	type Kernel,
	type ObjectRead,
} from '@parsleyvale/kernel';
import {HostVersions, type ObservedVersion} from './host-versions.js';
import {KeyFreshness} from './key-freshness.js';
import {KeyWithdrawals, type WithdrawalProgress} from './key-withdrawals.js';
import {LocalConfiguration} from './local-configuration.js';
import {
	toResolvedOptions,
	type ConfigurationOptions,
	type ResolvedOptions,
} from './options.js';
import {onPeerMessages} from './peer-messages.js';
import {PeerSync} from './peer-sync.js';
import {Proposals, configurationObject} from './proposals.js';
import {Voters} from './voters.js';
import {StoredWithdrawals, withdrawalsObject} from './stored-withdrawals.js';
import {SyncTree} from './sync-tree.js';
import {ConfigurationHistory} from './configuration-history.js';
import {WithdrawalSet} from './withdrawal-set.js';

/** Interval between reads, in case the watch lags or fails silently. */
const configurationReadInterval: Milliseconds = 5000;

/** Interval between reads until this host has a configuration. */
const initialReadInterval: Milliseconds = 500;

/** Keeps the active configuration and authenticates API keys. */
export class ConfigurationPlugin extends Plugin {
	readonly #options: ResolvedOptions;
	readonly #history: ConfigurationHistory;
	readonly #withdrawnKeys = new WithdrawalSet();
	readonly #hostVersions = new HostVersions();
	#localConfiguration!: LocalConfiguration;
	#voters!: Voters;
	#syncTree!: SyncTree;
	#freshness!: KeyFreshness;
	#storedWithdrawals!: StoredWithdrawals;
	#peerSync!: PeerSync;
	#proposals!: Proposals;
	#keyWithdrawals!: KeyWithdrawals;
	#self = '';
	#incarnation = '';
	#isWatching = false;
	#readAt: Milliseconds = Number.NEGATIVE_INFINITY;
	#readCount = 0;

	constructor(options: ConfigurationOptions = {}) {
		super();
		this.#options = toResolvedOptions(options);
		this.#history = new ConfigurationHistory(this.#options);
	}

	get name(): string {
		return 'configuration';
	}

	/** The active version of each host, as last reported to this host. */
	listVersions(now: Milliseconds): ObservedVersion[] {
		this.#hostVersions.set(this.#self, this.#history.version, now);
		return this.#hostVersions.list(now);
	}

	/** Key withdrawals that are not acknowledged yet. */
	listWithdrawals(): WithdrawalProgress[] {
		return this.#keyWithdrawals.list();
	}

	override isBusy(): boolean {
		return this.#proposals.hasPending || this.#keyWithdrawals.hasPending;
	}

	install(kernel: Kernel): void {
		this.#createComponents(kernel);
		this.#onStoreEvents(kernel);
		kernel.on('hosts-listed', (event, {now}) => {
			this.#onHostsListed(event, now);
		});
		kernel.on('configuration-proposed', (event, context) => {
			this.#proposals.onProposed(event, context);
		});
		kernel.on('key-withdrawal-requested', (event, context) => {
			this.#keyWithdrawals.onRequested(event, context);
		});
		kernel.on('stop-requested', () => {
			this.#peerSync.stop();
		});
		kernel.on('tick', (_event, context) => {
			this.#onTick(context);
		});
		onPeerMessages(kernel, {
			peerSync: this.#peerSync,
			keyWithdrawals: this.#keyWithdrawals,
			history: this.#history,
			onConfiguration: (candidate, context) => {
				this.#apply(candidate, context);
			},
		});
		kernel.provide(configurationKey, this.#localConfiguration);
	}

	#createComponents(kernel: Kernel): void {
		const {self, random} = kernel;
		const {name, incarnation} = self;
		this.#self = name;
		this.#incarnation = incarnation;
		this.#voters = new Voters(name);
		this.#syncTree = new SyncTree(self);
		this.#freshness = new KeyFreshness(this.#options, this.#voters);
		const dependencies = {
			self: {name, incarnation},
			incarnation,
			random,
			options: this.#options,
			history: this.#history,
			withdrawnKeys: this.#withdrawnKeys,
			hostVersions: this.#hostVersions,
			voters: this.#voters,
			freshness: this.#freshness,
			syncTree: this.#syncTree,
		};
		this.#localConfiguration = new LocalConfiguration(dependencies);
		this.#storedWithdrawals = new StoredWithdrawals(dependencies);
		this.#peerSync = new PeerSync(dependencies);
		this.#proposals = new Proposals({
			...dependencies,
			onStored: (stored, context) => {
				this.#apply(stored, context);
			},
			// Pushed to peers, as they may be unable to reach the store.
			onAccepted: (version, context) => {
				this.#peerSync.sendToPeers(version - 1, context);
			},
		});
		this.#keyWithdrawals = new KeyWithdrawals({
			...dependencies,
			localConfiguration: this.#localConfiguration,
			storedWithdrawals: this.#storedWithdrawals,
		});
	}

	#onStoreEvents(kernel: Kernel): void {
		kernel.on('object-changed', ({object}, context) => {
			if (object.name === configurationObject) {
				this.#applyStored(object.value, context);
			}
		});
		kernel.on('object-read', (event, context) => {
			this.#onRead(event, context);
		});
		kernel.on('object-written', (event, context) => {
			this.#proposals.onWritten(event, context);
			this.#storedWithdrawals.onWritten(event);
		});
	}

	#onRead(event: ObjectRead, context: Context): void {
		if (event.name === withdrawalsObject) {
			this.#storedWithdrawals.onRead(event);
			return;
		}

		if (event.name === configurationObject) {
			if (event.result.kind === 'found') {
				this.#applyStored(event.result.object.value, context);
			}

			this.#proposals.onRead(event, context);
		}
	}

	#onTick(context: Context): void {
		this.#freshness.start(context.now);
		this.#voters.removeExpired(context.now);
		if (this.#syncTree.isReader) {
			this.#watchConfiguration(context);
		}

		this.#storedWithdrawals.onTick(this.#syncTree.isReader, context);
		this.#peerSync.onTick(context);
		this.#proposals.onTick(context);
		this.#keyWithdrawals.onTick(context);
	}

	#watchConfiguration(context: Context): void {
		if (!this.#isWatching) {
			this.#isWatching = true;
			context.emit({type: 'watch-object', name: configurationObject});
		}

		const interval =
			this.#history.current === undefined
				? initialReadInterval
				: configurationReadInterval;
		if (context.now - this.#readAt >= interval) {
			this.#readAt = context.now;
			context.emit({
				type: 'read-object',
				operationId: `configuration/${this.#incarnation}/${this.#readCount++}`,
				name: configurationObject,
			});
		}
	}

	#onHostsListed(event: HostsListed, now: Milliseconds): void {
		this.#syncTree.set(event.hosts);
		for (const host of event.hosts) {
			this.#voters.add(host.name, host.incarnation, now);
		}
	}

	#applyStored(value: unknown, context: Context): void {
		const parsed = versionedConfigurationSchema.safeParse(value);
		if (parsed.success) {
			this.#apply(parsed.data, context);
		}
	}

	#apply(candidate: VersionedConfiguration, context: Context): void {
		this.#localConfiguration.apply(candidate, context);
	}
}

/**
 * Creates the plug-in that keeps the active configuration and authenticates API
 * keys. Install it before plug-ins that inject `configurationKey`.
 *
 * @example
 * const configuration = createConfiguration();
 * const kernel = createKernel({self, random}).use(configuration);
 */
export function createConfiguration(
	options: ConfigurationOptions = {},
): ConfigurationPlugin {
	return new ConfigurationPlugin(options);
}
