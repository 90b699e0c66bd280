const multiplier = 48_271;
const modulus = 2_147_483_647;

type Job = {readonly at: number; run(): void};

/** A virtual clock that runs jobs in order of their due time. */
export class Schedule {
	now = 0;
	readonly #jobs: Job[] = [];
	#state: number;

	constructor(seed: number) {
		this.#state = (Math.abs(seed) % (modulus - 1)) + 1;
	}

	readonly random = (): number => {
		this.#state = (this.#state * multiplier) % modulus;
		return this.#state / modulus;
	};

	add(delayMs: number, run: () => void): void {
		const at = this.now + delayMs;
		let index = this.#jobs.length;
		while (index > 0 && this.#jobs[index - 1]!.at > at) {
			index--;
		}

		this.#jobs.splice(index, 0, {at, run});
	}

	/** Advances the clock and runs all jobs that become due. */
	advance(spanMs: number): void {
		const end = this.now + spanMs;
		while ((this.#jobs[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
			const next = this.#jobs.shift()!;
			this.now = Math.max(this.now, next.at);
			next.run();
		}

		this.now = end;
	}
}
