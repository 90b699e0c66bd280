import type {Milliseconds} from '@parsleyvale/shared';
import type {LinkMode} from './faulty-link.js';
import {createRandom} from './random.js';
import type {ServerMode} from './server-stand-in.js';
import type {StoreMode} from './store-stand-in.js';

/** A fault or planned change during a run. */
export type Fault = {
	readonly at: Milliseconds;
	readonly duration: Milliseconds;
} & (
	| {readonly kind: 'store'; readonly mode: Exclude<StoreMode, 'serves'>}
	| {readonly kind: 'store-forgets'}
	/** The store is down at the end of the duration, and returns from a copy of its beginning. */
	| {readonly kind: 'store-returns'; readonly downtime: Milliseconds}
	| {
			readonly kind: 'store-link';
			readonly target: number;
			readonly mode: LinkMode;
	  }
	| {
			readonly kind: 'server';
			readonly target: number;
			readonly mode: ServerMode;
	  }
	| {
			readonly kind: 'server-link';
			readonly target: number;
			readonly mode: LinkMode;
	  }
	| {
			readonly kind: 'server-limit';
			readonly target: number;
			readonly perSecond: number;
	  }
	/** A request that crashes each server which runs it comes again and again. */
	| {readonly kind: 'deadly-request'}
	| {readonly kind: 'server-crash'; readonly target: number}
	| {readonly kind: 'server-leave'; readonly target: number}
	| {readonly kind: 'daemon-kill'; readonly target: number}
	| {readonly kind: 'daemon-stop'; readonly target: number}
	| {readonly kind: 'daemon-pause'; readonly target: number}
	| {readonly kind: 'daemon-reload'; readonly target: number}
	| {readonly kind: 'kill-all'}
	| {readonly kind: 'revoke'}
	| {readonly kind: 'evacuate'}
	| {readonly kind: 'configuration'}
);

export type PlanOptions = {
	readonly seed: number;
	readonly duration: Milliseconds;
	readonly daemons: number;
	readonly servers: number;
};

/** Faults begin and end at least this far from the start and the end of a run, so that the fleet can start up and recover. */
const edgeMargin: Milliseconds = 4000;
const minGap: Milliseconds = 200;
const maxGap: Milliseconds = 2200;
const minDuration: Milliseconds = 500;
/** Longer than the 5 s for which a daemon trusts its keys without the store. */
const maxDuration: Milliseconds = 7000;

/** Every second server states a limit on its rate, of two requests per second or up to four more. */
const limitedServerInterval = 2;
const minLimit = 2;
const limitRange = 4;
/** Separates the random numbers of the limits from those of the faults. */
const limitSeedOffset = 1_000_000;
/** In every third run, a request crashes servers. */
const deadlyInterval = 3;
const deadlyDuration: Milliseconds = 6000;
/** Spreads the seeds, as close ones begin with similar numbers. */
const returnSeedFactor = 0x9e_37_79_b1;
const deadlySeedFactor = 0x85_eb_ca_77;
/** In every second run, the store returns from a copy once or twice. */
const returnInterval = 2;
const maximumReturns = 2;
const maximumCopyAge: Milliseconds = 5000;
const minimumDowntime: Milliseconds = 300;
const maximumDowntime: Milliseconds = 3000;

type FaultFactory = (
	pick: <Item>(items: readonly Item[]) => Item,
	options: PlanOptions,
) => {readonly kind: Fault['kind']; target?: number; mode?: string};

const linkModes: readonly LinkMode[] = ['slow', 'resets', 'silent', 'one-way'];
const storeModes: ReadonlyArray<Exclude<StoreMode, 'serves'>> = [
	'busy',
	'silent',
	'loses answers',
];
const serverModes: readonly ServerMode[] = [
	'loses answers',
	'cuts answers',
	'doubles answers',
	'sheds',
	'slow',
];

/** Each factory is picked with the same probability; planned changes may overlap with faults. */
const faultFactories: readonly FaultFactory[] = [
	(pick) => ({kind: 'store', mode: pick(storeModes)}),
	() => ({kind: 'store-forgets'}),
	(pick, {daemons}) => ({
		kind: 'store-link',
		target: pick(toIndexes(daemons)),
		mode: pick(linkModes),
	}),
	(pick, options) => ({
		kind: 'server',
		target: pick(toIndexes(options.servers)),
		mode: pick(serverModes),
	}),
	(pick, options) => ({
		kind: 'server-link',
		target: pick(toIndexes(options.servers)),
		mode: pick(linkModes),
	}),
	(pick, options) => ({
		kind: 'server-crash',
		target: pick(toIndexes(options.servers)),
	}),
	(pick, options) => ({
		kind: 'server-leave',
		target: pick(toIndexes(options.servers)),
	}),
	(pick, {daemons}) => ({
		kind: pick([
			'daemon-kill',
			'daemon-stop',
			'daemon-stop',
			'daemon-pause',
		] as const),
		target: pick(toIndexes(daemons)),
	}),
	(pick, {daemons}) => ({
		kind: 'daemon-reload',
		target: pick(toIndexes(daemons)),
	}),
	(pick) => ({
		kind: pick([
			'kill-all',
			'revoke',
			'evacuate',
			'configuration',
			'configuration',
		] as const),
	}),
];

/**
 * Creates the faults of a run, which may overlap; the same seed gives the same plan.
 *
 * @example
 * createPlan({seed: 7, duration: 30_000, daemons: 4, servers: 6});
 */
export function createPlan(options: PlanOptions): Fault[] {
	return [
		...createFaults(options),
		...createLimits(options),
		...createReturns(options),
		...createDeadlyRequests(options),
	];
}

function createFaults(options: PlanOptions): Fault[] {
	const random = createRandom(options.seed);
	const pick = <Item>(items: readonly Item[]): Item =>
		items[Math.floor(random() * items.length)]!;
	const faults: Fault[] = [];
	const end = options.duration - edgeMargin * 2;
	let at = edgeMargin;
	while (at < end) {
		const duration = minDuration + random() * (maxDuration - minDuration);
		const fault = pick(faultFactories)(pick, options);
		faults.push({
			...fault,
			at: Math.round(at),
			duration: Math.round(Math.min(duration, end - at)),
		} as Fault);
		at += minGap + random() * (maxGap - minGap);
	}

	return faults;
}

/** Limits hold beside the faults for most of the run, as they bind only after some seconds. */
function createLimits({seed, duration, servers}: PlanOptions): Fault[] {
	const random = createRandom(seed + limitSeedOffset);
	return toIndexes(servers)
		.filter((target) => target % limitedServerInterval === 0)
		.map((target) => ({
			kind: 'server-limit',
			target,
			at: edgeMargin,
			duration: duration - edgeMargin * 2,
			perSecond: minLimit + limitRange * random(),
		}));
}

function createReturns({seed, duration}: PlanOptions): Fault[] {
	const random = createRandom(Math.imul(seed, returnSeedFactor));
	const faults: Fault[] = [];
	const end = duration - edgeMargin * 2;
	let at = edgeMargin;
	if (seed % returnInterval !== 0) {
		return faults;
	}

	while (faults.length < maximumReturns) {
		at += random() * (end - at);
		const downtime =
			minimumDowntime + random() * (maximumDowntime - minimumDowntime);
		const length = downtime + random() * maximumCopyAge;
		if (at + length > end) {
			break;
		}

		faults.push({
			kind: 'store-returns',
			at: Math.round(at),
			duration: Math.round(length),
			downtime: Math.round(downtime),
		});
		at += length;
	}

	return faults;
}

function createDeadlyRequests({seed, duration}: PlanOptions): Fault[] {
	const random = createRandom(Math.imul(seed, deadlySeedFactor));
	const end = duration - edgeMargin * 2 - deadlyDuration;
	return seed % deadlyInterval === 0 && end > edgeMargin
		? [
				{
					kind: 'deadly-request',
					at: Math.round(edgeMargin + random() * (end - edgeMargin)),
					duration: deadlyDuration,
				},
			]
		: [];
}

function toIndexes(count: number): number[] {
	return Array.from({length: count}, (_, index) => index);
}
