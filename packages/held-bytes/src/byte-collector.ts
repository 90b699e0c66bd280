import {Buffer} from 'node:buffer';

/** Chunks from this size on are kept as they are; a `Buffer` object costs little beside them. */
const minimumKeptBytes = 4096;
const blockBytes = 16 * 1024;
/** Initial size of a block, so that a short body does not occupy a whole one. */
const firstBlockBytes = 1024;

/**
 * Collects the chunks of a body. Small chunks are copied into blocks, since each
 * `Buffer` object costs about a hundred bytes and keeps the memory of its whole
 * read alive.
 */
export class ByteCollector {
	#parts: Buffer[] = [];
	#block: Buffer = Buffer.alloc(0);
	#blockLength = 0;
	#length = 0;
	#heldBytes = 0;

	/** Number of collected bytes. */
	get length(): number {
		return this.#length;
	}

	/** Memory that the collected bytes occupy. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	add(chunk: Buffer): void {
		this.#length += chunk.length;
		if (chunk.length >= minimumKeptBytes) {
			this.#endBlock();
			this.#parts.push(chunk);
			this.#heldBytes += chunk.length;
			return;
		}

		let rest = chunk;
		while (rest.length > 0) {
			rest = this.#copyToBlock(rest);
		}
	}

	/** The parts in which the bytes are held. */
	get parts(): readonly Buffer[] {
		this.#endBlock();
		return this.#parts;
	}

	/** Returns the collected bytes in one buffer. They are joined once. */
	toBuffer(): Buffer {
		this.#endBlock();
		if (this.#parts.length > 1) {
			this.#parts = [Buffer.concat(this.#parts, this.#length)];
			this.#heldBytes = this.#length;
		}

		return this.#parts[0] ?? Buffer.alloc(0);
	}

	/** Returns the parts and forgets them. */
	take(): readonly Buffer[] {
		const {parts} = this;
		this.clear();
		return parts;
	}

	clear(): void {
		this.#parts = [];
		this.#block = Buffer.alloc(0);
		this.#blockLength = 0;
		this.#length = 0;
		this.#heldBytes = 0;
	}

	/** Copies as much as fits, and returns the rest. */
	#copyToBlock(bytes: Buffer): Buffer {
		if (this.#blockLength === this.#block.length) {
			this.#endBlock();
			const size =
				this.#length > firstBlockBytes ? blockBytes : firstBlockBytes;
			this.#block = Buffer.allocUnsafeSlow(size);
			this.#heldBytes += size;
		}

		const copied = bytes.copy(this.#block, this.#blockLength);
		this.#blockLength += copied;
		return bytes.subarray(copied);
	}

	#endBlock(): void {
		if (this.#blockLength > 0) {
			this.#parts.push(this.#block.subarray(0, this.#blockLength));
		}

		this.#block = Buffer.alloc(0);
		this.#blockLength = 0;
	}
}
