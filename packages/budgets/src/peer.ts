import type {Milliseconds} from '@parsleyvale/shared';
import type {
	QueuedMessage,
	UnsequencedMessage,
	DemandReport,
	LoanRequest,
} from './messages.js';

type TimedLoanRequest = LoanRequest & {readonly at: Milliseconds};

/**
 * State of the exchange with one process of a peer, including loans in both
 * directions.
 */
export class Peer {
	lastSentSequence = 0;
	lastReceivedSequence = 0;
	/** Reading of the peer's clock in its latest message. */
	lastPeerClock: Milliseconds | undefined;
	/** Reading of this host's clock when that message arrived. */
	lastReceivedAt = Number.NEGATIVE_INFINITY;
	/** Sequence number of the peer's last queued message that was applied. */
	lastAppliedSequence = 0;
	unacknowledgedMessages: QueuedMessage[] = [];

	/** Epoch of the loans to the peer; loans of earlier epochs are reclaimed. */
	lentEpoch = 1;
	readonly lentUnits = new Map<string, number>();
	/** When the loans to the peer expire, also if its clock runs slow. */
	lentExpiresAt = Number.NEGATIVE_INFINITY;

	/** Epoch of the loans from the peer. */
	borrowedEpoch = 0;
	/** Latest epoch of the loans from the peer that this host has dropped. */
	droppedBorrowedEpoch = 0;
	readonly borrowedUnits = new Map<string, number>();
	/** When the loans from the peer expire, on this host's clock. */
	borrowedExpiresAt = Number.NEGATIVE_INFINITY;

	demands = new Map<string, DemandReport>();
	/** Demand reported in the latest message to the peer. */
	lastSentDemands: readonly DemandReport[] = [];
	readonly loanRequests = new Map<string, TimedLoanRequest>();
	isStopping = false;
	isRecalling = false;
	/**
	 * Whether a queued message should be sent without waiting for the next
	 * interval.
	 */
	isUrgent = false;
	#lastQueuedSequence = 0;

	constructor(
		readonly name: string,
		readonly incarnation: string,
		readonly knownSince: Milliseconds,
	) {}

	/** Queues a message, which is sent until the peer acknowledges it. */
	enqueue(message: UnsequencedMessage): void {
		this.#lastQueuedSequence++;
		this.unacknowledgedMessages.push({
			...message,
			sequence: this.#lastQueuedSequence,
		});
		this.isUrgent = true;
	}

	isLive(now: Milliseconds, timeout: Milliseconds): boolean {
		return now - this.lastReceivedAt < timeout;
	}
}
