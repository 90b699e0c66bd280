import type {Milliseconds} from '@parsleyvale/shared';
import type {Item, NewItem, ReportedDemand, Want} from './messages.js';

type RememberedWant = Want & {readonly at: Milliseconds};

/** What this host knows of, owes to and lends to one process of a peer. */
export class Peer {
	readonly name: string;
	readonly incarnation: string;
	readonly knownSince: Milliseconds;
	sentSequence = 0;
	heardSequence = 0;
	/** The peer's clock in its latest message. */
	heardStamp: Milliseconds | undefined;
	/** This host's clock when that message came. */
	heardAt = Number.NEGATIVE_INFINITY;
	/** Last item of the peer that was applied. */
	applied = 0;
	unacknowledged: Item[] = [];

	/** Number of the book that holds what is lent to the peer. */
	loanEpoch = 1;
	readonly lent = new Map<string, number>();
	/** The peer's right to what is lent has ended after this. */
	grantedUntil = Number.NEGATIVE_INFINITY;

	/** Number of the peer's book that holds what it lends to this host. */
	borrowedEpoch = 0;
	/** That book, when this host gave up its loans. */
	droppedEpoch = 0;
	readonly borrowed = new Map<string, number>();
	validUntil = Number.NEGATIVE_INFINITY;

	demands = new Map<string, ReportedDemand>();
	/** Demand in the latest message to the peer. */
	sentDemands: readonly ReportedDemand[] = [];
	readonly wants = new Map<string, RememberedWant>();
	isStopping = false;
	isRecalling = false;
	/** Something waits that should go out at once. */
	isUrgent = false;
	#itemSequence = 0;

	constructor(name: string, incarnation: string, knownSince: Milliseconds) {
		this.name = name;
		this.incarnation = incarnation;
		this.knownSince = knownSince;
	}

	/** Queues an item; it is sent until the peer acknowledges it. */
	addItem(item: NewItem): void {
		this.#itemSequence++;
		this.unacknowledged.push({...item, sequence: this.#itemSequence});
		this.isUrgent = true;
	}

	isHeard(now: Milliseconds, within: Milliseconds): boolean {
		return now - this.heardAt < within;
	}
}
