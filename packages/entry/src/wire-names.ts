/** Header names that callers and backend servers speak, in lower case. */
export type WireNames = {
	readonly requestId: string;
	/** Milliseconds that the caller will wait. */
	readonly deadline: string;
	readonly affinity: string;
	readonly key: string;
	readonly customer: string;
	/** Names the server that may run the request. */
	readonly expectedServer: string;
	/** Says that the server did not run the request. */
	readonly notRun: string;
	readonly load: string;
	/** The server's signature under its answer. */
	readonly seal: string;
};
