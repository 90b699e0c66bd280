/** Which process of an entry host a message comes from. */
export type PeerSender = {
	readonly name: string;
	readonly incarnation: string;
};

/** A message that a peer sent; its payload is not trusted. */
export type ReceivedMessage = {
	readonly from: PeerSender;
	readonly topic: string;
	readonly payload: unknown;
};
