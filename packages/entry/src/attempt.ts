import {Buffer} from 'node:buffer';
import type {Milliseconds} from '@parsleyvale/shared';
import type {
	BackendServer,
	ReportedLoad,
	SteeringAttemptEnded,
	SteeringOutcome,
} from '@parsleyvale/steering';
import type {AnswerHead} from './answer-reader.js';
import {findRawHeader, ServerExchange} from './server-connection.js';
import type {WireNames} from './wire-names.js';

/** An answer up to this size is held until it is whole. */
const maximumHeldBytes = 256 * 1024;
const statusOfOtherServer = 421;

/** A whole answer that is not delivered yet. */
export type HeldAnswer = {
	readonly head: AnswerHead;
	readonly body: Buffer;
};

/** What an attempt tells of its course. */
export abstract class AttemptListener {
	/** The answer is longer than what is held: it goes to the caller as it comes. */
	abstract onLongAnswer(head: AnswerHead, first: Buffer): void;
	abstract onLongBody(chunk: Buffer): void;
	abstract onLongEnd(): void;
	/** A long answer that has begun was cut. */
	abstract onLongCut(): void;
	abstract onEnded(attempt: Attempt, ended: AttemptReport): void;
}

export type AttemptReport = Pick<
	SteeringAttemptEnded,
	'outcome' | 'status' | 'isHeld' | 'load' | 'connectTime'
> & {readonly reason: string | undefined};

export type AttemptOptions = {
	readonly number: number;
	readonly server: BackendServer;
	readonly requestId: string | undefined;
	readonly isHead: boolean;
	readonly names: WireNames;
	readonly listener: AttemptListener;
};

/** One request at one backend server: holds the answer and judges its end. */
export class Attempt extends ServerExchange {
	readonly #options: AttemptOptions;
	#connectTime: Milliseconds | undefined;
	#head: AnswerHead | undefined;
	#chunks: Buffer[] = [];
	#length = 0;
	#isLong = false;
	#isOver = false;

	constructor(options: AttemptOptions) {
		super();
		this.#options = options;
	}

	get number(): number {
		return this.#options.number;
	}

	get server(): BackendServer {
		return this.#options.server;
	}

	override get requestId(): string | undefined {
		return this.#options.requestId;
	}

	override get isHead(): boolean {
		return this.#options.isHead;
	}

	/** The whole answer, where it was held. */
	get answer(): HeldAnswer | undefined {
		return this.#head === undefined || this.#isLong
			? undefined
			: {head: this.#head, body: Buffer.concat(this.#chunks)};
	}

	override onConnected(roundTrip: Milliseconds | undefined): void {
		this.#connectTime = roundTrip;
	}

	override onAnswerHead(head: AnswerHead): void {
		this.#head = head;
	}

	override onAnswerBody(chunk: Buffer): void {
		if (this.#isLong) {
			this.#options.listener.onLongBody(chunk);
			return;
		}

		this.#chunks.push(chunk);
		this.#length += chunk.length;
		if (this.#length > maximumHeldBytes) {
			this.#isLong = true;
			const first = Buffer.concat(this.#chunks);
			this.#chunks = [];
			this.#options.listener.onLongAnswer(this.#head!, first);
		}
	}

	override onAnswerEnd(): void {
		if (this.#isLong) {
			this.#options.listener.onLongEnd();
		}

		this.#end(this.#judge(), undefined);
	}

	override onFailed(wasSent: boolean, reason: string): void {
		if (this.#isLong) {
			this.#options.listener.onLongCut();
		}

		this.#head = undefined;
		this.#end(wasSent ? 'unknown' : 'not-sent', reason);
	}

	#judge(): SteeringOutcome {
		const {names} = this.#options;
		const {status, rawHeaders} = this.#head!;
		if (status === statusOfOtherServer) {
			return 'wrong-server';
		}

		const isNotRun = findRawHeader(rawHeaders, names.notRun) !== undefined;
		if (isNotRun) {
			return 'not-run';
		}

		// An answer without the server's signature is not known to be its own.
		const isSealed = findRawHeader(rawHeaders, names.seal) !== undefined;
		return isSealed || status >= 300 ? 'answered' : 'unknown';
	}

	#end(outcome: SteeringOutcome, reason: string | undefined): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		const {listener, names} = this.#options;
		const head = this.#head;
		const load = findRawHeader(head?.rawHeaders ?? [], names.load);
		listener.onEnded(this, {
			outcome,
			status: head?.status,
			isHeld: !this.#isLong,
			load: parseLoad(load),
			connectTime: this.#connectTime,
			reason,
		});
	}
}

/** Running, waiting and slots, separated by commas. */
function parseLoad(text: string | undefined): ReportedLoad | undefined {
	const match = /^(\d+),(\d+),\d+$/.exec(text ?? '');
	return match === null
		? undefined
		: {running: Number(match[1]), waiting: Number(match[2])};
}
