import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import type {Context} from './context.js';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';
import type {Plugin} from './plugin.js';
import type {ServiceKey} from './service-key.js';

/** All inputs of the kernel besides events and the time. */
export type KernelOptions = {
	/** The entry host on which the kernel runs. */
	readonly self: EntryHost;
	/** Returns uniformly distributed numbers in [0, 1). */
	readonly random: () => number;
	/**
	 * Called with the error that a handler of an event has thrown; the other
	 * handlers still run. Undefined: `handle` throws the error.
	 */
	readonly onHandlerError?: (error: unknown, eventType: string) => void;
};

type Handler<EventUnion, EffectUnion> = (
	event: EventUnion,
	context: Context<EventUnion, EffectUnion>,
) => void;

/** A longer queue means that plug-ins raise events in an endless loop. */
const maxQueuedEvents = 10_000;

/**
 * A deterministic state machine that maps an event and the time to effects.
 * It has no sockets, timers, random source or clock of its own.
 */
export class Kernel<
	EventUnion extends {readonly type: string} = KernelEvent,
	EffectUnion = Effect,
> {
	readonly self: EntryHost;
	readonly random: () => number;
	readonly #handlers = new Map<
		string,
		Array<Handler<EventUnion, EffectUnion>>
	>();

	readonly #services = new Map<symbol, unknown>();
	readonly #plugins: Array<Plugin<EventUnion, EffectUnion>> = [];
	readonly #onHandlerError: KernelOptions['onHandlerError'];

	constructor(options: KernelOptions) {
		this.self = options.self;
		this.random = options.random;
		this.#onHandlerError = options.onHandlerError;
	}

	/** Installs a plug-in; the plug-ins it depends on must be installed first. */
	use(plugin: Plugin<EventUnion, EffectUnion>): this {
		this.#plugins.push(plugin);
		plugin.install(this);
		return this;
	}

	/** Registers an event handler; handlers run in order of registration. */
	on<Type extends EventUnion['type']>(
		type: Type,
		handler: (
			event: Extract<EventUnion, {type: Type}>,
			context: Context<EventUnion, EffectUnion>,
		) => void,
	): void {
		const handlers = this.#handlers.get(type) ?? [];
		handlers.push(handler as Handler<EventUnion, EffectUnion>);
		this.#handlers.set(type, handlers);
	}

	/** Provides a service to plug-ins that are installed later. */
	provide<Service>(key: ServiceKey<Service>, service: Service): void {
		this.#services.set(key.symbol, service);
	}

	/** Returns a service; throws if no installed plug-in provides it. */
	inject<Service>(key: ServiceKey<Service>): Service {
		if (!this.#services.has(key.symbol)) {
			throw new Error(
				`No plug-in provides "${key.name}". Install its provider first.`,
			);
		}

		return this.#services.get(key.symbol) as Service;
	}

	/** Processes an event and returns the resulting effects in order. */
	handle(event: EventUnion, now: Milliseconds): EffectUnion[] {
		const effects: EffectUnion[] = [];
		const queue: EventUnion[] = [event];
		const context: Context<EventUnion, EffectUnion> = {
			now,
			emit(effect) {
				effects.push(effect);
			},
			raise(raisedEvent) {
				queue.push(raisedEvent);
			},
		};
		// Array iteration also visits events that are pushed during the loop.
		for (const next of queue) {
			if (queue.length > maxQueuedEvents) {
				throw new Error('Plug-ins raise events in an endless loop.');
			}

			this.#dispatch(next, context);
		}

		return effects;
	}

	/** Whether a plug-in has pending work that a graceful stop must wait for. */
	isBusy(now: Milliseconds): boolean {
		return this.#plugins.some((plugin) => plugin.isBusy(now));
	}

	#dispatch(
		event: EventUnion,
		context: Context<EventUnion, EffectUnion>,
	): void {
		for (const handler of this.#handlers.get(event.type) ?? []) {
			try {
				handler(event, context);
			} catch (error) {
				if (this.#onHandlerError === undefined) {
					throw error;
				}

				this.#onHandlerError(error, event.type);
			}
		}
	}
}

/**
 * Creates a kernel without plug-ins. The type parameters select other events
 * and effects than the default ones.
 *
 * @example
 * const kernel = createKernel({self, random}).use(createRouting());
 * const effects = kernel.handle({type: 'tick'}, clock.now());
 */
export function createKernel<
	EventUnion extends {readonly type: string} = KernelEvent,
	EffectUnion = Effect,
>(options: KernelOptions): Kernel<EventUnion, EffectUnion> {
	return new Kernel(options);
}
