const multiplier = 48_271;
const modulus = 2_147_483_647;

type Job = {readonly at: number; run(): void};

/** Virtual time: jobs run in order of their moments. */
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

	add(delay: number, run: () => void): void {
		const at = this.now + delay;
		let place = this.#jobs.length;
		while (place > 0 && this.#jobs[place - 1]!.at > at) {
			place--;
		}

		this.#jobs.splice(place, 0, {at, run});
	}

	/** Runs what is due within the span. */
	advance(span: number): void {
		const end = this.now + span;
		while ((this.#jobs[0]?.at ?? Number.POSITIVE_INFINITY) <= end) {
			const next = this.#jobs.shift()!;
			this.now = Math.max(this.now, next.at);
			next.run();
		}

		this.now = end;
	}
}
