import type {AnswerOperator} from '@parsleyvale/kernel';

export type OperatorResult = AnswerOperator['result'];

/** Operators' calls that wait for the kernel's answer. */
export class OperatorAnswers {
	readonly #waiting = new Map<
		string,
		Array<(result: OperatorResult) => void>
	>();

	/** Waits for the answer to an operation; a repeat waits for the same one. */
	async wait(operationId: string): Promise<OperatorResult> {
		return new Promise((resolve) => {
			const waiting = this.#waiting.get(operationId) ?? [];
			waiting.push(resolve);
			this.#waiting.set(operationId, waiting);
		});
	}

	answer(effect: AnswerOperator): void {
		const waiting = this.#waiting.get(effect.operationId) ?? [];
		this.#waiting.delete(effect.operationId);
		for (const resolve of waiting) {
			resolve(effect.result);
		}
	}
}
