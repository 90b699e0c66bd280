/**
 * Whether overload control and even load are in force. Only the settings turn them
 * on: on both deployments for which they were built, callers were served less with
 * them than without (docs/design/hard-load.md).
 */
export class LoadControl {
	readonly #isRequired: boolean;

	constructor(isRequired: boolean) {
		this.#isRequired = isRequired;
	}

	get isEnabled(): boolean {
		return this.#isRequired;
	}
}
