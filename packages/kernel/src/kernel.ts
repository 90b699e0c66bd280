import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Context} from './context.js';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';
import type {Plugin} from './plugin.js';
import type {ServiceKey} from './service-key.js';

/** Platform of the kernel: all that it may know of the world it runs in. */
export type KernelOptions = {
	/** The entry host that this kernel decides for. */
	readonly self: EntryHost;
	/** Uniform numbers from 0 to below 1. */
	readonly random: () => number;
};

type Handler<Taken, Emitted> = (
	event: Taken,
	context: Context<Taken, Emitted>,
) => void;

/** A chain of raised events longer than this is a loop between plug-ins. */
const maximumRaisedEvents = 10_000;

/**
 * A deterministic state machine: an event and the time go in, effects come
 * out. It holds no socket, timer, random source or clock of its own.
 */
export class Kernel<
	Taken extends {readonly type: string} = KernelEvent,
	Emitted = Effect,
> {
	readonly self: EntryHost;
	readonly random: () => number;
	readonly #handlers = new Map<string, Array<Handler<Taken, Emitted>>>();
	readonly #services = new Map<symbol, unknown>();
	readonly #plugins: Array<Plugin<Taken, Emitted>> = [];

	constructor(options: KernelOptions) {
		this.self = options.self;
		this.random = options.random;
	}

	/** Installs a plug-in; one that it depends on must be installed before. */
	use(plugin: Plugin<Taken, Emitted>): this {
		this.#plugins.push(plugin);
		plugin.install(this);
		return this;
	}

	/** Registers a handler; handlers run in the order of registration. */
	on<Type extends Taken['type']>(
		type: Type,
		handler: (
			event: Extract<Taken, {type: Type}>,
			context: Context<Taken, Emitted>,
		) => void,
	): void {
		const handlers = this.#handlers.get(type) ?? [];
		handlers.push(handler as Handler<Taken, Emitted>);
		this.#handlers.set(type, handlers);
	}

	/** Offers a service to the plug-ins installed later. */
	provide<Service>(key: ServiceKey<Service>, service: Service): void {
		this.#services.set(key.symbol, service);
	}

	/** The service under the key; throws when no installed plug-in offers it. */
	inject<Service>(key: ServiceKey<Service>): Service {
		if (!this.#services.has(key.symbol)) {
			throw new Error(
				`No plug-in provides "${key.name}". Install one that does before this one.`,
			);
		}

		return this.#services.get(key.symbol) as Service;
	}

	/** Takes one event and returns what the edges have to do, in order. */
	handle(event: Taken, now: Milliseconds): Emitted[] {
		const effects: Emitted[] = [];
		const queue: Taken[] = [event];
		const context: Context<Taken, Emitted> = {
			now,
			emit(effect) {
				effects.push(effect);
			},
			raise(raised) {
				queue.push(raised);
			},
		};
		// Iterating an array also visits what is pushed on the way.
		for (const next of queue) {
			if (queue.length > maximumRaisedEvents) {
				throw new Error('Plug-ins raise events in a loop.');
			}

			this.#dispatch(next, context);
		}

		return effects;
	}

	/** Whether some plug-in has work that a graceful stop waits for. */
	isBusy(now: Milliseconds): boolean {
		return this.#plugins.some((plugin) => plugin.isBusy(now));
	}

	#dispatch(event: Taken, context: Context<Taken, Emitted>): void {
		for (const handler of this.#handlers.get(event.type) ?? []) {
			handler(event, context);
		}
	}
}

/**
 * A kernel without plug-ins. Daemons with other events and effects than the
 * default ones name their types.
 *
 * @example
 * const kernel = createKernel({self, random}).use(createRouting());
 * const effects = kernel.handle({type: 'tick'}, clock.now());
 */
export function createKernel<
	Taken extends {readonly type: string} = KernelEvent,
	Emitted = Effect,
>(options: KernelOptions): Kernel<Taken, Emitted> {
	return new Kernel(options);
}
