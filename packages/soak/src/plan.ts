import type {Milliseconds} from '@parsleyvale/shared';
import type {LinkMode} from './faulty-link.js';
import {createRandom} from './random.js';
import type {ServerMode} from './server-stand-in.js';
import type {StoreMode} from './store-stand-in.js';

/** One fault, or one planned change, of a run. */
export type Fault = {
	readonly at: Milliseconds;
	readonly span: Milliseconds;
} & (
	| {readonly kind: 'store'; readonly mode: Exclude<StoreMode, 'serves'>}
	| {readonly kind: 'store-forgets'}
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
	readonly length: Milliseconds;
	readonly daemons: number;
	readonly servers: number;
};

/** Faults begin and end this far from the ends of a run, so that it starts and recovers. */
const margin: Milliseconds = 4000;
const shortestGap: Milliseconds = 200;
const longestGap: Milliseconds = 2200;
const shortestSpan: Milliseconds = 500;
/** Longer than keys are taken to be fresh (5 s). */
const longestSpan: Milliseconds = 7000;

type Make = (
	pick: <Item>(items: readonly Item[]) => Item,
	options: PlanOptions,
) => {readonly kind: Fault['kind']; target?: number; mode?: string};

const links: readonly LinkMode[] = ['slow', 'resets', 'silent', 'one-way'];
const stores: ReadonlyArray<Exclude<StoreMode, 'serves'>> = [
	'busy',
	'silent',
	'loses answers',
];
const servers: readonly ServerMode[] = [
	'loses answers',
	'cuts answers',
	'doubles answers',
	'sheds',
	'slow',
];

/** Faults of every kind come about as often; planned changes run beside them. */
const makers: readonly Make[] = [
	(pick) => ({kind: 'store', mode: pick(stores)}),
	() => ({kind: 'store-forgets'}),
	(pick, {daemons}) => ({
		kind: 'store-link',
		target: pick(toIndexes(daemons)),
		mode: pick(links),
	}),
	(pick, options) => ({
		kind: 'server',
		target: pick(toIndexes(options.servers)),
		mode: pick(servers),
	}),
	(pick, options) => ({
		kind: 'server-link',
		target: pick(toIndexes(options.servers)),
		mode: pick(links),
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
 * The faults of a run, in series and overlapping: the same ones for a seed.
 *
 * @example
 * createPlan({seed: 7, length: 30_000, daemons: 4, servers: 6});
 */
export function createPlan(options: PlanOptions): Fault[] {
	const random = createRandom(options.seed);
	const pick = <Item>(items: readonly Item[]): Item =>
		items[Math.floor(random() * items.length)]!;
	const faults: Fault[] = [];
	const end = options.length - margin * 2;
	let at = margin;
	while (at < end) {
		const span = shortestSpan + random() * (longestSpan - shortestSpan);
		const made = pick(makers)(pick, options);
		faults.push({
			...made,
			at: Math.round(at),
			span: Math.round(Math.min(span, end - at)),
		} as Fault);
		at += shortestGap + random() * (longestGap - shortestGap);
	}

	return faults;
}

function toIndexes(count: number): number[] {
	return Array.from({length: count}, (_, index) => index);
}
