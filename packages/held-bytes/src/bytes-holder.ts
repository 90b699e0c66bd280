import type {Milliseconds} from '@parsleyvale/shared';

/** A connection whose held bytes are accounted for. */
export abstract class BytesHolder {
	/** When the connection last received or sent bytes, on the clock of the account. */
	abstract get lastProgressAt(): Milliseconds;
	abstract pauseReading(): void;
	abstract resumeReading(): void;
	/** Closes the connection to free what it holds. */
	abstract terminate(): void;
}
