import type {
	Effect,
	EffectOf,
	EffectType,
	Kernel,
	KernelEvent,
} from '@parsleyvale/kernel';
import type {Clock} from '@parsleyvale/shared';

type EffectHandler = (effect: Effect) => void;

/** Gives events to the kernel, one after the other, and effects to the edges. */
export class KernelDriver {
	readonly #kernel: Kernel;
	readonly #clock: Clock;
	readonly #handlers = new Map<EffectType, EffectHandler>();
	readonly #waiting: KernelEvent[] = [];
	#isRunning = false;

	constructor(kernel: Kernel, clock: Clock) {
		this.#kernel = kernel;
		this.#clock = clock;
	}

	/** Registers the one edge that carries out effects of a type. */
	onEffect<Type extends EffectType>(
		type: Type,
		handler: (effect: EffectOf<Type>) => void,
	): void {
		this.#handlers.set(type, handler as EffectHandler);
	}

	/** Takes an event now, or after the present one when an edge raises it. */
	handle(event: KernelEvent): void {
		this.#waiting.push(event);
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			this.#takeWaiting();
		} finally {
			this.#isRunning = false;
		}
	}

	#takeWaiting(): void {
		for (;;) {
			const event = this.#waiting.shift();
			if (event === undefined) {
				return;
			}

			for (const effect of this.#kernel.handle(event, this.#clock.now())) {
				this.#handlers.get(effect.type)?.(effect);
			}
		}
	}
}
