/** Identifies one process of an entry host; the incarnation changes with each start. */
export type PeerIdentity = {
	readonly name: string;
	readonly incarnation: string;
};

/** A message from a peer. The payload is parsed JSON that has not been validated. */
export type ReceivedMessage = {
	readonly from: PeerIdentity;
	readonly topic: string;
	readonly payload: unknown;
};
