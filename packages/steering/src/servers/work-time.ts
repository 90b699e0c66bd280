import type {Milliseconds} from '@parsleyvale/shared';

/** Bounds of the stated factor; a machine that claims to be faster than usual is judged by its responses alone. */
const minimumFactor = 1;
const maximumFactor = 4;
/** Time in which a statement loses its effect: the length of a slow period, of which the statement may come at any moment. */
const statementLifetime: Milliseconds = 600;
/** Factor from which a statement is compared with the response that carries it. */
const meaningfulFactor = 1.25;
/**
 * Weights of a response in the trust in a server's statements. A period may begin or
 * end while work runs, so that a true statement often differs from its response.
 */
const confirmationGain = 0.3;
const contradictionGain = 0.1;
const initialTrust = 0.7;

/** How much longer work takes at a server at present, by its own statements. */
export class WorkTime {
	#factor = 1;
	#statedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** From 0 to 1: how far this host's attempts agree with the statements. */
	#trust = initialTrust;

	/** Returns the factor on the time work takes; 1: as usual, or not stated recently. */
	compute(now: Milliseconds): number {
		const age = now - this.#statedAt;
		return age >= statementLifetime
			? 1
			: 1 + (this.#factor - 1) * this.#trust * (1 - age / statementLifetime);
	}

	/** Applies a statement; 100 is the usual time. */
	onStated(percent: number, now: Milliseconds): void {
		this.#factor = Math.min(
			maximumFactor,
			Math.max(minimumFactor, percent / 100),
		);
		this.#statedAt = now;
	}

	/** Compares the last statement with a response of this host that took `ratio` times the usual time. */
	onAnswered(ratio: number): void {
		if (this.#factor < meaningfulFactor) {
			return;
		}

		// The nearer in proportion of the two: the stated factor, or the usual time.
		const isConfirmed = ratio * ratio > this.#factor;
		this.#trust += isConfirmed
			? confirmationGain * (1 - this.#trust)
			: -contradictionGain * this.#trust;
	}
}
