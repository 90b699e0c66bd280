/** Lower-case names of the headers exchanged with callers and backend servers. */
export type HeaderNames = {
	readonly requestId: string;
	/** Carries how long the caller will wait, in milliseconds. */
	readonly deadline: string;
	readonly affinity: string;
	readonly key: string;
	readonly customer: string;
	/** Carries the id of the only server that may run the request. */
	readonly expectedServer: string;
	/** Present if the server did not run the request. */
	readonly notRun: string;
	readonly load: string;
	/** Carries the requests per second that a server in need takes from all hosts together. */
	readonly rateLimit: string;
	/** Carries the server's signature of its response. */
	readonly seal: string;
};
