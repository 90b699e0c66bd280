import type {Buffer} from 'node:buffer';

const carriageReturn = 0x0d;
const lineFeed = 0x0a;
const chunkTerminatorBytes = 2;

/** A part of an HTTP/1.1 message, received in pieces. */
export abstract class MessageSection {
	abstract get isComplete(): boolean;
	/** Bytes of a body that certainly follow, without any framing. */
	get expectedBodyBytes(): number {
		return 0;
	}

	/** Scans from the given position and returns the position after what belongs to this section. */
	abstract scan(bytes: Buffer, position: number): number;
}

/** Lines up to an empty one: the head of a message or its trailers. */
export class LineSection extends MessageSection {
	/** A head begins at its first line; empty lines before it are ignored. */
	static createHead(): LineSection {
		return new LineSection(false);
	}

	static createTrailers(): LineSection {
		return new LineSection(true);
	}

	#hasStarted: boolean;
	#lineLength = 0;
	#wasCarriageReturn = false;
	#isComplete = false;
	#isValid = true;

	private constructor(hasStarted: boolean) {
		super();
		this.#hasStarted = hasStarted;
	}

	override get isComplete(): boolean {
		return this.#isComplete;
	}

	/** Whether CR and LF occurred only as CRLF so far. */
	get isValid(): boolean {
		return this.#isValid;
	}

	override scan(bytes: Buffer, position: number): number {
		let next = position;
		while (next < bytes.length && !this.#isComplete) {
			this.#onByte(bytes[next]!);
			next += 1;
		}

		return next;
	}

	#onByte(byte: number): void {
		const isLineFeed = byte === lineFeed;
		if (this.#wasCarriageReturn !== isLineFeed) {
			this.#isValid = false;
		}

		this.#wasCarriageReturn = byte === carriageReturn;
		if (isLineFeed) {
			this.#isComplete = this.#hasStarted && this.#lineLength === 0;
			this.#lineLength = 0;
		} else if (!this.#wasCarriageReturn) {
			this.#hasStarted = true;
			this.#lineLength += 1;
		}
	}
}

/** A body of known length. */
export class FixedLengthSection extends MessageSection {
	#remainingBytes: number;

	constructor(length: number) {
		super();
		this.#remainingBytes = length;
	}

	override get isComplete(): boolean {
		return this.#remainingBytes === 0;
	}

	override get expectedBodyBytes(): number {
		return this.#remainingBytes;
	}

	override scan(bytes: Buffer, position: number): number {
		const count = Math.min(this.#remainingBytes, bytes.length - position);
		this.#remainingBytes -= count;
		return position + count;
	}
}

/** A chunked body with its trailers. The parser has validated it. */
export class ChunkedSection extends MessageSection {
	readonly #trailers = LineSection.createTrailers();
	#sizeLine = '';
	#chunk: FixedLengthSection | undefined;
	#isLastChunkRead = false;

	override get isComplete(): boolean {
		return this.#trailers.isComplete;
	}

	override get expectedBodyBytes(): number {
		return this.#chunk?.expectedBodyBytes ?? 0;
	}

	override scan(bytes: Buffer, position: number): number {
		let next = position;
		while (next < bytes.length && !this.#isLastChunkRead) {
			next =
				this.#chunk === undefined
					? this.#scanSizeLine(bytes, next)
					: this.#scanChunk(this.#chunk, bytes, next);
		}

		return this.#trailers.scan(bytes, next);
	}

	#scanSizeLine(bytes: Buffer, position: number): number {
		const end = bytes.indexOf(lineFeed, position);
		const next = end === -1 ? bytes.length : end + 1;
		this.#sizeLine += bytes.toString('latin1', position, next);
		if (end !== -1) {
			const size = Number.parseInt(this.#sizeLine, 16);
			this.#sizeLine = '';
			this.#isLastChunkRead = size === 0;
			this.#chunk = new FixedLengthSection(size + chunkTerminatorBytes);
		}

		return next;
	}

	#scanChunk(
		chunk: FixedLengthSection,
		bytes: Buffer,
		position: number,
	): number {
		const next = chunk.scan(bytes, position);
		if (chunk.isComplete) {
			this.#chunk = undefined;
		}

		return next;
	}
}
