import type {Context, EffectOf} from '@parsleyvale/kernel';

/** Answers retained for repeated operations. */
const maxRetainedAnswers = 1000;

type Answer = EffectOf<'answer-operator'>;

/**
 * Recent answers to operators; a repeated operation gets the same answer.
 *
 * @internal
 */
export class OperatorAnswers {
	readonly #answers = new Map<string, Answer>();

	/** Repeats the answer to an operation; returns whether there was one. */
	answerDuplicate(operationId: string, context: Context): boolean {
		const answer = this.#answers.get(operationId);
		if (answer !== undefined) {
			context.emit(answer);
		}

		return answer !== undefined;
	}

	answer(answer: Answer, context: Context): void {
		this.#answers.set(answer.operationId, answer);
		if (this.#answers.size > maxRetainedAnswers) {
			const [oldest] = this.#answers.keys();
			this.#answers.delete(oldest!);
		}

		context.emit(answer);
	}
}
