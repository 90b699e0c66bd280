import type {AnswerOperator} from '@parsleyvale/kernel';

export type OperationResult = AnswerOperator['result'];

/** Operations of operators that wait for a result of the kernel. */
export class PendingOperations {
	readonly #waiting = new Map<
		string,
		Array<(result: OperationResult) => void>
	>();

	/** Waits for the result of an operation; retries receive the same result. */
	async waitForResult(operationId: string): Promise<OperationResult> {
		return new Promise((resolve) => {
			const waiting = this.#waiting.get(operationId) ?? [];
			waiting.push(resolve);
			this.#waiting.set(operationId, waiting);
		});
	}

	settle(effect: AnswerOperator): void {
		const waiting = this.#waiting.get(effect.operationId) ?? [];
		this.#waiting.delete(effect.operationId);
		for (const resolve of waiting) {
			resolve(effect.result);
		}
	}
}
