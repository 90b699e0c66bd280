import type {Clock} from '@parsleyvale/shared';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';
import type {Kernel} from './kernel.js';

type TypedMessage = {readonly type: string};

/**
 * Passes events to the kernel one at a time and its effects to the handlers
 * that carry them out.
 */
export class KernelDriver<
	EventUnion extends TypedMessage = KernelEvent,
	EffectUnion extends TypedMessage = Effect,
> {
	readonly #kernel: Kernel<EventUnion, EffectUnion>;
	readonly #clock: Clock;
	readonly #handlers = new Map<string, (effect: EffectUnion) => void>();
	readonly #pendingEvents: EventUnion[] = [];
	readonly #onEffectError:
		((error: unknown, effectType: string) => void) | undefined;

	#isProcessing = false;

	/** `onEffectError` is called with the error that a handler of an effect has thrown. */
	constructor(
		kernel: Kernel<EventUnion, EffectUnion>,
		clock: Clock,
		onEffectError?: (error: unknown, effectType: string) => void,
	) {
		this.#kernel = kernel;
		this.#clock = clock;
		this.#onEffectError = onEffectError;
	}

	/** Registers the handler of a type of effect; each type has one handler. */
	onEffect<Type extends EffectUnion['type']>(
		type: Type,
		handler: (effect: Extract<EffectUnion, {type: Type}>) => void,
	): void {
		this.#handlers.set(type, handler as (effect: EffectUnion) => void);
	}

	/**
	 * Processes an event. An event from within an effect handler is queued until
	 * the current one has been processed.
	 */
	handle(event: EventUnion): void {
		this.#pendingEvents.push(event);
		if (this.#isProcessing) {
			return;
		}

		this.#isProcessing = true;
		try {
			this.#processPendingEvents();
		} finally {
			this.#isProcessing = false;
		}
	}

	#processPendingEvents(): void {
		for (;;) {
			const event = this.#pendingEvents.shift();
			if (event === undefined) {
				return;
			}

			for (const effect of this.#kernel.handle(event, this.#clock.now())) {
				this.#handleEffect(effect);
			}
		}
	}

	#handleEffect(effect: EffectUnion): void {
		try {
			this.#handlers.get(effect.type)?.(effect);
		} catch (error) {
			if (this.#onEffectError === undefined) {
				throw error;
			}

			this.#onEffectError(error, effect.type);
		}
	}
}
