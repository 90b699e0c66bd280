const multiplier = 48_271;
const modulus = 2_147_483_647;

type Job = {readonly at: number; readonly order: number; run(): void};

/** Virtual time: jobs run in order of their moments. */
export class Schedule {
	now = 0;
	#jobs: Job[] = [];
	#order = 0;
	#state: number;

	constructor(seed: number) {
		this.#state = (Math.abs(seed) % (modulus - 1)) + 1;
	}

	readonly random = (): number => {
		this.#state = (this.#state * multiplier) % modulus;
		return this.#state / modulus;
	};

	add(delay: number, run: () => void): void {
		this.#jobs.push({at: this.now + delay, order: this.#order++, run});
	}

	/** Runs what is due within the span. */
	advance(span: number): void {
		const end = this.now + span;
		for (;;) {
			const due = this.#jobs
				.filter((job) => job.at <= end)
				.sort((a, b) => a.at - b.at || a.order - b.order);
			const [next] = due;
			if (next === undefined) {
				break;
			}

			this.#jobs = this.#jobs.filter((job) => job !== next);
			this.now = Math.max(this.now, next.at);
			next.run();
		}

		this.now = end;
	}
}
