import type {Clock} from '@parsleyvale/shared';
import type {Effect} from './effect.js';
import type {KernelEvent} from './event.js';
import type {Kernel} from './kernel.js';

type Typed = {readonly type: string};

/** Gives events to the kernel, one after the other, and effects to the edges. */
export class KernelDriver<
	Taken extends Typed = KernelEvent,
	Emitted extends Typed = Effect,
> {
	readonly #kernel: Kernel<Taken, Emitted>;
	readonly #clock: Clock;
	readonly #handlers = new Map<string, (effect: Emitted) => void>();
	readonly #waiting: Taken[] = [];
	#isRunning = false;

	constructor(kernel: Kernel<Taken, Emitted>, clock: Clock) {
		this.#kernel = kernel;
		this.#clock = clock;
	}

	/** Registers the one edge that carries out effects of a type. */
	onEffect<Type extends Emitted['type']>(
		type: Type,
		handler: (effect: Extract<Emitted, {type: Type}>) => void,
	): void {
		this.#handlers.set(type, handler as (effect: Emitted) => void);
	}

	/** Takes an event now, or after the present one when an edge raises it. */
	handle(event: Taken): void {
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
