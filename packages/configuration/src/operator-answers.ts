import type {Context, EffectOf} from '@parsleyvale/kernel';

/** Answers kept for operators who ask again. */
const keptAnswers = 1000;

type Answer = EffectOf<'answer-operator'>;

/**
 * The answers given to operators, so that a repeated operation gets the same.
 *
 * @internal
 */
export class OperatorAnswers {
	readonly #answers = new Map<string, Answer>();

	/** Answers an operation that was answered before; returns whether it was. */
	answerAgain(operationId: string, context: Context): boolean {
		const answer = this.#answers.get(operationId);
		if (answer !== undefined) {
			context.emit(answer);
		}

		return answer !== undefined;
	}

	answer(answer: Answer, context: Context): void {
		this.#answers.set(answer.operationId, answer);
		if (this.#answers.size > keptAnswers) {
			const [oldest] = this.#answers.keys();
			this.#answers.delete(oldest!);
		}

		context.emit(answer);
	}
}
