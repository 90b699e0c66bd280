import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	ChunkedSection,
	FixedLengthSection,
	LineSection,
	type MessageSection,
} from './message-section.js';

/**
 * Follows the bytes of one connection beside the HTTP parser of Node.js. llhttp 8
 * accepts some bare LFs and reports the same header as for CRLF, so line
 * terminators can only be checked on the received bytes.
 */
export class RequestScanner {
	#bytes: Buffer = Buffer.alloc(0);
	#position = 0;
	#section: MessageSection = LineSection.createHead();

	/** Bytes that are expected next and belong to a body. */
	get expectedBodyBytes(): number {
		this.#finishBytes();
		return this.#section.expectedBodyBytes;
	}

	/** Takes received bytes. Must be called before the parser handles them. */
	onData(bytes: Buffer): void {
		this.#finishBytes();
		this.#bytes = bytes;
		this.#position = 0;
	}

	/**
	 * Whether each line of the request's head ends in CRLF, without a CR or LF
	 * elsewhere, and each header has a name. Must be called while the parser reports
	 * the request.
	 */
	checkHead(request: IncomingMessage): boolean {
		const head = this.#findHead();
		this.#position = head.scan(this.#bytes, this.#position);
		this.#section = createBody(request);
		return head.isComplete && head.isValid && hasHeaderNames(request);
	}

	#finishBytes(): void {
		while (this.#position < this.#bytes.length) {
			this.#advance();
			if (this.#section.isComplete) {
				this.#section = LineSection.createHead();
			}
		}
	}

	/** Returns the head that has begun, or a new one after the rest of the previous body. */
	#findHead(): LineSection {
		if (this.#section instanceof LineSection) {
			return this.#section;
		}

		this.#advance();
		return LineSection.createHead();
	}

	#advance(): void {
		this.#position = this.#section.scan(this.#bytes, this.#position);
	}
}

function createBody({headers}: IncomingMessage): MessageSection {
	return headers['transfer-encoding'] === undefined
		? new FixedLengthSection(Number(headers['content-length'] ?? 0))
		: new ChunkedSection();
}

function hasHeaderNames({rawHeaders}: IncomingMessage): boolean {
	return rawHeaders.every((text, index) => index % 2 === 1 || text !== '');
}
