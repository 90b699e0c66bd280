import type {Buffer} from 'node:buffer';
import type {AnswerHead} from '../../src/answer-reader.js';
import {ServerExchange} from '../../src/server-connection.js';

export type ProbeEnd =
	| {readonly kind: 'answered'; readonly status: number; readonly body: string}
	| {readonly kind: 'failed'; readonly wasSent: boolean};

/** One request whose end a test waits for. */
export class ProbeExchange extends ServerExchange {
	readonly ended: Promise<ProbeEnd>;
	#end!: (end: ProbeEnd) => void;
	#head: AnswerHead | undefined;
	#body = '';

	constructor(
		readonly requestId: string,
		readonly isHead = false,
	) {
		super();
		this.ended = new Promise((resolve) => {
			this.#end = resolve;
		});
	}

	override onConnected(): void {
		// Nothing is measured.
	}

	override onAnswerHead(head: AnswerHead): void {
		this.#head = head;
	}

	override onAnswerBody(chunk: Buffer): void {
		this.#body += chunk.toString('latin1');
	}

	override onAnswerEnd(): void {
		const {status} = this.#head!;
		this.#end({kind: 'answered', status, body: this.#body});
	}

	override onFailed(wasSent: boolean): void {
		this.#end({kind: 'failed', wasSent});
	}
}
